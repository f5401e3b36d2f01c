#ifndef OLEANDERGATE_RUNTIME_CHATDOCUMENT_H
#define OLEANDERGATE_RUNTIME_CHATDOCUMENT_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"
#include "decision/error.h"

#include <string>

namespace oleandergate {

//! Limit on the tokens of an answer when the request does not set one.
inline constexpr Tokens defaultMaxTokens = 1024;

//! Parses the body of a chat completion request: model, messages, token limit and streaming flag. Fails with BadRequest.
Result<CallRequest> parseChatRequest(const std::string &body);

//! Returns the body to send to an engine, which asks for a stream with usage. If \p generated is not empty, the engine is asked to
//! continue that text of \p generatedTokens tokens.
std::string engineRequestBody(const CallRequest &request, const std::string &generated, Tokens generatedTokens);

//! Returns a complete chat completion as a JSON document.
std::string chatCompletion(const CallRequest &request, const std::string &text, const std::string &finishReason, Tokens promptTokens, Tokens completionTokens);

//! Returns the text of a complete chat completion; empty if \p completion is not one.
std::string completionText(const std::string &completion);

//! Returns a server-sent event with a chunk of text.
std::string chatChunk(const std::string &requestId, const std::string &model, const std::string &text);

//! Returns the closing events of a stream, with the usage of \p answer.
std::string chatStreamEnd(const std::string &requestId, const std::string &model, const CallAnswer &answer);

} // namespace oleandergate

#endif
