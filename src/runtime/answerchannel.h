#ifndef OLEANDERGATE_RUNTIME_ANSWERCHANNEL_H
#define OLEANDERGATE_RUNTIME_ANSWERCHANNEL_H

#include "decision/callanswer.h"
#include "decision/error.h"
#include "runtime/asyncsignal.h"

#include <optional>
#include <string>

namespace oleandergate {

//! Passes a streamed answer from its producer to one consumer: text as it arrives, then the final result. Thread-safe.
class AnswerChannel
{
public:
    //! Appends text of a streamed answer.
    void push(const std::string &chunk);

    //! Sets the final result. Later calls have no effect.
    void finish(const Result<CallAnswer> &result);

    //! Returns the text after the first \p offset bytes.
    std::string textFrom(std::size_t offset) const;

    //! Returns the final result, or nothing before finish() was called.
    std::optional<Result<CallAnswer>> result() const;

    //! Waits for push() or finish(), for at most \p maxWait. Only one coroutine may wait.
    boost::asio::awaitable<void> wait(Duration maxWait);

private:
    mutable std::mutex mutex;
    std::string text;
    std::optional<Result<CallAnswer>> outcome;
    AsyncSignal signal;
};

} // namespace oleandergate

#endif
