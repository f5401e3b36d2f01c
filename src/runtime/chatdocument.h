#ifndef OLEANDERGATE_RUNTIME_CHATDOCUMENT_H
#define OLEANDERGATE_RUNTIME_CHATDOCUMENT_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"
#include "decision/error.h"

#include <string>

namespace oleandergate {

//! Tokens assumed as the bound of an answer when the caller names none.
inline constexpr Tokens defaultMaxTokens = 1024;

//! Reads the model, messages, token bound and streaming flag of a chat completion's body into a request.
//! Fails with BadRequest.
Result<CallRequest> parseChatRequest(const std::string &body);

//! Returns the body to send to an engine: streaming with usage, and continuing behind \p generated, a text of
//! \p generatedTokens, when that is not empty.
std::string engineRequestBody(const CallRequest &request, const std::string &generated, Tokens generatedTokens);

//! Returns a whole chat completion.
std::string chatCompletion(const CallRequest &request, const std::string &text, const std::string &finishReason, Tokens promptTokens, Tokens completionTokens);

//! Returns the text of a whole chat completion.
std::string completionText(const std::string &completion);

//! Returns one server-sent event with a piece of text.
std::string chatChunk(const std::string &requestId, const std::string &model, const std::string &text);

//! Returns the closing events of a stream, with the usage of \p answer.
std::string chatStreamEnd(const std::string &requestId, const std::string &model, const CallAnswer &answer);

} // namespace oleandergate

#endif
