#include "runtime/backgroundtask.h"

#include "runtime/asyncsignal.h"
#include "runtime/log.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Between the failure of a loop and its next beginning, so that one which always fails does not take up the processor.
constexpr Duration restartDelay = std::chrono::milliseconds(200);

std::string describeException(const std::exception_ptr &thrown)
{
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception &exception) {
        return exception.what();
    } catch (...) {
        return "not a standard exception";
    }
}

asio::awaitable<void> repeat(const char *name, std::function<asio::awaitable<void>()> loop)
{
    while (true) {
        std::exception_ptr thrown;
        try {
            co_await loop();
        } catch (...) {
            thrown = std::current_exception();
        }
        if (!thrown) {
            co_return;
        }
        logRecord(LogLevel::Error, "instance", "a loop failed and begins again", {{"loop", name}, {"detail", describeException(thrown)}});
        co_await sleepFor(restartDelay);
    }
}

} // namespace

void spawnLoop(const asio::any_io_executor &executor, const char *name, std::function<asio::awaitable<void>()> loop)
{
    asio::co_spawn(executor, repeat(name, std::move(loop)), asio::detached);
}

void runContext(asio::io_context &context, const char *name)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (...) {
            logRecord(LogLevel::Error, "instance", "a handler failed", {{"context", name}, {"detail", describeException(std::current_exception())}});
        }
    }
}

} // namespace oleandergate
