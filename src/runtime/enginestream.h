#ifndef OLEANDERGATE_RUNTIME_ENGINESTREAM_H
#define OLEANDERGATE_RUNTIME_ENGINESTREAM_H

#include "decision/ids.h"

#include <functional>
#include <string>
#include <string_view>

namespace oleandergate {

//! Parses the server-sent events of an OpenAI-compatible engine. Nothing is passed on behind [DONE] or behind a malformed event.
class EngineStream
{
public:
    //! \p onText is called with each chunk of generated text and its number of tokens.
    explicit EngineStream(std::function<void(const std::string &text, Tokens tokens)> onText);

    //! Parses the next bytes of the stream.
    void feed(std::string_view bytes);

    //! Returns true once the engine has sent [DONE].
    bool isDone() const;

    //! Returns true when an event was not a valid JSON document or was too large.
    bool isMalformed() const;

    const std::string &finishReason() const;
    Tokens promptTokens() const;

    //! Returns the number that the engine reported or the number of chunks, whichever is larger.
    Tokens completionTokens() const;

private:
    void handleEvent(const std::string &data);

    std::function<void(const std::string &text, Tokens tokens)> onText;
    std::string buffer;
    std::string lastFinishReason;
    bool done = false;
    bool malformed = false;
    Tokens reportedPromptTokens = 0;
    Tokens reportedCompletionTokens = 0;
    Tokens countedTokens = 0;
};

} // namespace oleandergate

#endif
