#include "runtime/answerchannel.h"

namespace oleandergate {

void AnswerChannel::push(const std::string &chunk)
{
    {
        const std::lock_guard lock(this->mutex);
        this->text += chunk;
    }
    this->signal.notify();
}

void AnswerChannel::finish(const Result<CallAnswer> &result)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->outcome) {
            return;
        }
        this->outcome = result;
    }
    this->signal.notify();
}

std::string AnswerChannel::textFrom(std::size_t offset) const
{
    const std::lock_guard lock(this->mutex);
    return offset < this->text.size() ? this->text.substr(offset) : std::string();
}

std::optional<Result<CallAnswer>> AnswerChannel::result() const
{
    const std::lock_guard lock(this->mutex);
    return this->outcome;
}

boost::asio::awaitable<void> AnswerChannel::wait(Duration maxWait)
{
    co_await this->signal.wait(maxWait);
}

} // namespace oleandergate
