#include "gateway/eventsplitter.h"

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

} // namespace

std::string EventSplitter::feed(const std::string &bytes)
{
    this->pendingBytes += bytes;
    std::size_t consumed = 0;
    for (std::size_t size = endOfEvent(this->pendingBytes); size != std::string::npos;
         size = endOfEvent(std::string_view(this->pendingBytes).substr(consumed))) {
        this->parseEvent(this->pendingBytes.substr(consumed, size));
        consumed += size;
    }
    std::string events = this->pendingBytes.substr(0, consumed);
    this->pendingBytes.erase(0, consumed);
    return events;
}

std::string EventSplitter::takeRest()
{
    std::string rest = std::move(this->pendingBytes);
    this->pendingBytes.clear();
    return rest;
}

bool EventSplitter::isWhole(bool endsWithConnection) const
{
    // An answer that only the end of its connection ends may have been cut behind its head.
    const bool mayBeEmpty = !endsWithConnection;
    return endsBetweenEvents(this->pendingBytes) && (mayBeEmpty || this->events > 0);
}

std::size_t EventSplitter::pendingSize() const
{
    return this->pendingBytes.size();
}

std::optional<std::uint64_t> EventSplitter::lastId() const
{
    return this->lastEventId;
}

std::uint64_t EventSplitter::eventCount() const
{
    return this->events;
}

void EventSplitter::parseEvent(const std::string &event)
{
    std::string_view text(event);
    bool hasData = false;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        hasData = hasData || line.starts_with("data");
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t number = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), number).ec == std::errc()) {
            this->lastEventId = number;
        }
    }
    this->events += hasData ? 1 : 0;
}

} // namespace oleandergate
