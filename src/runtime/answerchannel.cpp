#include "runtime/answerchannel.h"

namespace oleandergate {

void AnswerChannel::push(const std::string &more)
{
    {
        const std::lock_guard lock(this->mutex);
        this->text += more;
    }
    this->signal.notify();
}

void AnswerChannel::finish(const Result<CallAnswer> &result)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->end) {
            return;
        }
        this->end = result;
    }
    this->signal.notify();
}

std::string AnswerChannel::textFrom(std::size_t from) const
{
    const std::lock_guard lock(this->mutex);
    return from < this->text.size() ? this->text.substr(from) : std::string();
}

std::optional<Result<CallAnswer>> AnswerChannel::result() const
{
    const std::lock_guard lock(this->mutex);
    return this->end;
}

boost::asio::awaitable<void> AnswerChannel::wait(Duration longest)
{
    co_await this->signal.wait(longest);
}

} // namespace oleandergate
