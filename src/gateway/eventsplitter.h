#ifndef OLEANDERGATE_GATEWAY_EVENTSPLITTER_H
#define OLEANDERGATE_GATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>

namespace oleandergate {

//! Splits the bytes of an event stream into whole events, so that a stream that breaks inside an event can be resumed at
//! another endpoint without a damaged or duplicated event.
class EventSplitter
{
public:
    //! Appends \p bytes to the stream. Returns the whole events that were not returned yet.
    std::string feed(const std::string &bytes);

    //! Returns and discards the bytes after the last whole event.
    std::string takeRest();

    //! Returns whether a stream that ends after the bytes fed so far is whole. \p endsWithConnection tells that its answer has neither a length
    //! nor chunks, so that nothing but the end of the connection ends it.
    bool isWhole(bool endsWithConnection) const;

    //! Returns the number of bytes after the last whole event.
    std::size_t pendingSize() const;

    //! Returns the number of the last whole event that carried one.
    std::optional<std::uint64_t> lastId() const;

    //! Returns the number of whole events with data.
    std::uint64_t eventCount() const;

private:
    void parseEvent(const std::string &event);

    std::string pendingBytes;
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t events = 0;
};

} // namespace oleandergate

#endif
