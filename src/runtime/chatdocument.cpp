#include "runtime/chatdocument.h"

#include "runtime/jsonaccess.h"

#include <boost/json.hpp>

#include <algorithm>

namespace oleandergate {

namespace json = boost::json;

namespace {

//! Assumed minimum of bytes per token, so that the estimated number of prompt tokens is an upper bound.
constexpr std::size_t bytesPerToken = 3;

//! Tokens counted for each message in addition to its text, for the chat template.
constexpr Tokens tokensPerMessage = 8;

constexpr Tokens maxTokensLimit = 1000000;

Error badRequest(const std::string &detail)
{
    return Error{ErrorCode::BadRequest, Step::Parse, {}, Executed::No, std::nullopt, detail};
}

std::string serverSentEvent(const json::object &object)
{
    return "data: " + json::serialize(object) + "\n\n";
}

} // namespace

Result<CallRequest> parseChatRequest(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return badRequest("the body must be a JSON object");
    }
    const json::object &object = value.get_object();
    const json::value *model = object.if_contains("model");
    const json::value *messages = object.if_contains("messages");
    if (model == nullptr || !model->is_string() || model->get_string().empty()) {
        return badRequest("'model' must be a string that is not empty");
    }
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return badRequest("'messages' must be an array of at least one message");
    }
    CallRequest request;
    request.kind = CallKind::Model;
    request.repeatable = true;
    request.target = std::string(model->get_string());
    request.path = "/v1/chat/completions";
    request.body = body;
    for (const json::value &message : messages->get_array()) {
        if (!message.is_object()) {
            return badRequest("each of 'messages' must be an object");
        }
        request.messages.push_back(json::serialize(message));
        request.promptTokens += static_cast<Tokens>(request.messages.back().size() / bytesPerToken) + tokensPerMessage;
    }
    request.maxTokens = defaultMaxTokens;
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        const json::value *bound = object.if_contains(key);
        if (bound == nullptr) {
            continue;
        }
        if (!bound->is_int64() || bound->get_int64() < 1 || bound->get_int64() > maxTokensLimit) {
            return badRequest(std::string("'") + key + "' must be a whole number from 1 to 1000000");
        }
        request.maxTokens = bound->get_int64();
    }
    const json::value *stream = object.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return badRequest("'stream' must be true or false");
    }
    request.streaming = stream != nullptr && stream->get_bool();
    return request;
}

std::string engineRequestBody(const CallRequest &request, const std::string &generated, Tokens generatedTokens)
{
    json::object body = parseJsonObject(request.body);
    body["stream"] = true;
    body["stream_options"] = json::object{{"include_usage", true}};
    body["max_tokens"] = std::max<Tokens>(1, request.maxTokens - generatedTokens);
    body.erase("max_completion_tokens");
    // The salt separates the cached prefixes of different programs.
    body["cache_salt"] = request.program;
    if (!generated.empty()) {
        body["messages"].as_array().push_back(json::object{{"role", "assistant"}, {"content", generated}});
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
    }
    return json::serialize(body);
}

std::string chatCompletion(const CallRequest &request, const std::string &text, const std::string &finishReason, Tokens promptTokens, Tokens completionTokens)
{
    const json::object message{{"role", "assistant"}, {"content", text}};
    const json::object choice{{"index", 0}, {"message", message}, {"finish_reason", finishReason}};
    const json::object usage{{"prompt_tokens", promptTokens}, {"completion_tokens", completionTokens}, {"total_tokens", promptTokens + completionTokens}};
    return json::serialize(
        json::object{{"id", request.requestId}, {"object", "chat.completion"}, {"model", request.target}, {"choices", json::array{choice}}, {"usage", usage}});
}

std::string completionText(const std::string &completion)
{
    const json::object object = parseJsonObject(completion);
    const json::value *choices = object.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array().front().is_object()) {
        return {};
    }
    const json::value *message = choices->get_array().front().get_object().if_contains("message");
    const json::value *content = message != nullptr && message->is_object() ? message->get_object().if_contains("content") : nullptr;
    return content != nullptr && content->is_string() ? std::string(content->get_string()) : std::string();
}

std::string chatChunk(const std::string &requestId, const std::string &model, const std::string &text)
{
    const json::object choice{{"index", 0}, {"delta", json::object{{"content", text}}}, {"finish_reason", nullptr}};
    return serverSentEvent(json::object{{"id", requestId}, {"object", "chat.completion.chunk"}, {"model", model}, {"choices", json::array{choice}}});
}

std::string chatStreamEnd(const std::string &requestId, const std::string &model, const CallAnswer &answer)
{
    const json::object completion = parseJsonObject(answer.body);
    json::value reason = "stop";
    const json::value *choices = completion.if_contains("choices");
    if (choices != nullptr && choices->is_array() && !choices->get_array().empty() && choices->get_array().front().is_object()) {
        const json::value *stored = choices->get_array().front().get_object().if_contains("finish_reason");
        reason = stored != nullptr ? *stored : reason;
    }
    const json::object choice{{"index", 0}, {"delta", json::object{}}, {"finish_reason", reason}};
    json::object last{{"id", requestId}, {"object", "chat.completion.chunk"}, {"model", model}, {"choices", json::array{choice}}};
    last["usage"] = completion.contains("usage") ? completion.at("usage") : json::value(nullptr);
    if (answer.historyPending) {
        last["history"] = "pending";
    }
    return serverSentEvent(last) + "data: [DONE]\n\n";
}

} // namespace oleandergate
