#ifndef OLEANDERGATE_RUNTIME_ENGINESTREAM_H
#define OLEANDERGATE_RUNTIME_ENGINESTREAM_H

#include "decision/ids.h"

#include <functional>
#include <string>
#include <string_view>

namespace oleandergate {

//! Reads the server-sent events of an OpenAI-compatible engine.
class EngineStream
{
public:
    //! \p onText is called with each piece of generated text and the number of tokens it stands for.
    explicit EngineStream(std::function<void(const std::string &text, Tokens tokens)> onText);

    //! Takes bytes as they come.
    void feed(std::string_view bytes);

    //! Returns true once the engine said that the stream is whole.
    bool isDone() const;

    //! Returns true when an event was no valid document.
    bool isMalformed() const;

    const std::string &finishReason() const;
    Tokens promptTokens() const;
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
