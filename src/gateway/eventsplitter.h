#ifndef OLEANDERGATE_GATEWAY_EVENTSPLITTER_H
#define OLEANDERGATE_GATEWAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! A whole event of a stream, or a part without data, such as a comment.
struct StreamEvent
{
    std::string text{}; //!< Its bytes, unchanged.
    std::optional<std::uint64_t> number{};
    bool hasData = false;
    bool isForeign = false; //!< Holds the head of another answer.
};

//! Splits the bytes of an event stream into whole events, so that a stream that breaks inside an event can be resumed at
//! another endpoint without a damaged or duplicated event.
class EventSplitter
{
public:
    //! Appends \p bytes to the stream. Returns the whole events that were not returned yet.
    std::vector<StreamEvent> feed(const std::string &bytes);

    //! Returns and discards the bytes after the last whole event.
    std::string takeRest();

    //! Returns whether the bytes fed so far end between two events, comments aside.
    bool isBetweenEvents() const;

    //! Returns whether the bytes after the last whole event are more than comments: the beginning of another one.
    bool hasBegunEvent() const;

    //! Returns the bytes after the last whole event if they are an event of whole lines that lacks only its empty line.
    std::optional<StreamEvent> unterminatedEvent() const;

    //! Returns the number of bytes after the last whole event.
    std::size_t pendingSize() const;

private:
    std::string pendingBytes;
};

} // namespace oleandergate

#endif
