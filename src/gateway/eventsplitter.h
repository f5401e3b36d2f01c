#ifndef OLEANDERGATE_GATEWAY_EVENTSPLITTER_H
#define OLEANDERGATE_GATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>

namespace oleandergate {

//! Cuts the bytes of an event stream into whole events, so that a stream that breaks inside an event can go on elsewhere
//! without a damaged or doubled one.
class EventSplitter
{
public:
    //! Takes the next bytes. Returns the whole events among all bytes that were not returned yet.
    std::string feed(const std::string &bytes);

    //! Returns the bytes behind the last whole event, and forgets them.
    std::string takeRest();

    //! Returns the number of the last whole event that carried one.
    std::optional<std::uint64_t> lastId() const;

    //! Returns how many whole events with data were seen.
    std::uint64_t eventCount() const;

private:
    void parseEvent(const std::string &event);

    std::string pendingBytes;
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t events = 0;
};

} // namespace oleandergate

#endif
