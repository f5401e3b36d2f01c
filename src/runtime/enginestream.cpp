#include "runtime/enginestream.h"

#include <boost/json.hpp>

#include <algorithm>

namespace oleandergate {

namespace json = boost::json;

namespace {

//! A larger event is treated as malformed.
constexpr std::size_t maxEventBytes = 1024 * 1024;

Tokens tokenCount(const json::object &usage, std::string_view key)
{
    const json::value *value = usage.if_contains(key);
    return value != nullptr && value->is_int64() ? std::max<Tokens>(0, value->get_int64()) : 0;
}

} // namespace

EngineStream::EngineStream(std::function<void(const std::string &, Tokens)> onText)
    : onText(std::move(onText))
{
}

void EngineStream::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::size_t end = this->buffer.find('\n');
    while (end != std::string::npos) {
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        constexpr std::string_view dataField = "data:";
        if (line.starts_with(dataField)) {
            const std::size_t start = line.find_first_not_of(' ', dataField.size());
            this->handleEvent(start == std::string::npos ? std::string() : line.substr(start));
        }
        end = this->buffer.find('\n');
    }
    if (this->buffer.size() > maxEventBytes) {
        this->malformed = true;
        this->buffer.clear();
    }
}

void EngineStream::handleEvent(const std::string &data)
{
    // What follows [DONE] belongs to another answer, and what follows a malformed event has a gap in front of it.
    if (this->done || this->malformed) {
        return;
    }
    if (data == "[DONE]") {
        this->done = true;
        return;
    }
    boost::system::error_code error;
    const json::value event = json::parse(data, error);
    if (error || !event.is_object()) {
        this->malformed = true;
        return;
    }
    const json::object &object = event.get_object();
    if (const json::value *usage = object.if_contains("usage"); usage != nullptr && usage->is_object()) {
        this->reportedPromptTokens = tokenCount(usage->get_object(), "prompt_tokens");
        this->reportedCompletionTokens = tokenCount(usage->get_object(), "completion_tokens");
    }
    const json::value *choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array()) {
        this->malformed = true;
        return;
    }
    if (choices->get_array().empty() || !choices->get_array().front().is_object()) {
        return;
    }
    const json::object &choice = choices->get_array().front().get_object();
    if (const json::value *reason = choice.if_contains("finish_reason"); reason != nullptr && reason->is_string()) {
        this->lastFinishReason = std::string(reason->get_string());
    }
    const json::value *delta = choice.if_contains("delta");
    const json::value *content = delta != nullptr && delta->is_object() ? delta->get_object().if_contains("content") : nullptr;
    if (content != nullptr && content->is_string() && !content->get_string().empty()) {
        this->countedTokens += 1;
        this->onText(std::string(content->get_string()), 1);
    }
}

bool EngineStream::isDone() const
{
    return this->done;
}

bool EngineStream::isMalformed() const
{
    return this->malformed;
}

const std::string &EngineStream::finishReason() const
{
    return this->lastFinishReason;
}

Tokens EngineStream::promptTokens() const
{
    return this->reportedPromptTokens;
}

Tokens EngineStream::completionTokens() const
{
    return std::max(this->reportedCompletionTokens, this->countedTokens);
}

} // namespace oleandergate
