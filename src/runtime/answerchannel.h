#ifndef OLEANDERGATE_RUNTIME_ANSWERCHANNEL_H
#define OLEANDERGATE_RUNTIME_ANSWERCHANNEL_H

#include "decision/callanswer.h"
#include "decision/error.h"
#include "runtime/asyncsignal.h"

#include <optional>
#include <string>

namespace oleandergate {

//! Carries the text of an answer, as it comes, and its end, from the sender to one reader. Thread-safe.
class AnswerChannel
{
public:
    //! Adds text of a streamed answer.
    void push(const std::string &chunk);

    //! Ends the answer. Later calls change nothing.
    void finish(const Result<CallAnswer> &result);

    //! Returns the text beyond the first \p offset bytes.
    std::string textFrom(std::size_t offset) const;

    //! Returns the end, once there is one.
    std::optional<Result<CallAnswer>> result() const;

    //! Waits for a change, at most for \p maxWait. For one reader.
    boost::asio::awaitable<void> wait(Duration maxWait);

private:
    mutable std::mutex mutex;
    std::string text;
    std::optional<Result<CallAnswer>> outcome;
    AsyncSignal signal;
};

} // namespace oleandergate

#endif
