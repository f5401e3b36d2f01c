#include "gateway/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace oleandergate {

namespace {

//! Returns the position after the first blank line, or npos.
std::size_t endOfEvent(std::string_view text)
{
    for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
        const std::string_view next = text.substr(end + 1);
        if (next.starts_with("\n")) {
            return end + 2;
        }
        if (next.starts_with("\r\n")) {
            return end + 3;
        }
    }
    return std::string_view::npos;
}

//! Returns whether \p rest, the bytes after the last whole event, are comments and blank lines only.
bool endsBetweenEvents(std::string_view rest)
{
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const bool isIgnored = rest.starts_with(":") || rest.starts_with("\n") || rest.starts_with("\r\n");
        if (end == std::string_view::npos || !isIgnored) {
            return false;
        }
        rest.remove_prefix(end + 1);
    }
    return true;
}

//! Returns whether a line of \p rest, the bytes after the last whole event, is no comment. The last one may lack its end.
bool hasField(std::string_view rest)
{
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const bool isIgnored = rest.starts_with(":") || rest.starts_with("\n") || rest.starts_with("\r");
        if (!isIgnored) {
            return !rest.starts_with("HTTP/1.");
        }
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    return false;
}

//! Returns the number in the value of an id field; nothing if it is none.
std::optional<std::uint64_t> numberOf(std::string_view value)
{
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    while (value.ends_with('\r') || value.ends_with(' ')) {
        value.remove_suffix(1);
    }
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [position, error] = std::from_chars(value.data(), end, number);
    return error == std::errc() && position == end ? std::optional(number) : std::nullopt;
}

StreamEvent parseEvent(std::string bytes)
{
    StreamEvent event;
    event.text = std::move(bytes);
    std::string_view text(event.text);
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        event.hasData = event.hasData || line.starts_with("data");
        event.isForeign = event.isForeign || line.starts_with("HTTP/1.");
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            event.number = numberOf(line);
        }
    }
    return event;
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(const std::string &bytes)
{
    this->pendingBytes += bytes;
    std::vector<StreamEvent> events;
    std::size_t consumed = 0;
    for (std::size_t size = endOfEvent(this->pendingBytes); size != std::string::npos;
         size = endOfEvent(std::string_view(this->pendingBytes).substr(consumed))) {
        events.push_back(parseEvent(this->pendingBytes.substr(consumed, size)));
        consumed += size;
    }
    this->pendingBytes.erase(0, consumed);
    return events;
}

std::string EventSplitter::takeRest()
{
    std::string rest = std::move(this->pendingBytes);
    this->pendingBytes.clear();
    return rest;
}

bool EventSplitter::isBetweenEvents() const
{
    return endsBetweenEvents(this->pendingBytes);
}

bool EventSplitter::hasBegunEvent() const
{
    return hasField(this->pendingBytes);
}

std::optional<StreamEvent> EventSplitter::unterminatedEvent() const
{
    if (!this->pendingBytes.ends_with('\n')) {
        return std::nullopt;
    }
    StreamEvent event = parseEvent(this->pendingBytes);
    return event.hasData && !event.isForeign ? std::optional(std::move(event)) : std::nullopt;
}

std::size_t EventSplitter::pendingSize() const
{
    return this->pendingBytes.size();
}

} // namespace oleandergate
