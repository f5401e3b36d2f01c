#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <stdexcept>

using namespace oleandergate;

namespace asio = boost::asio;

// Guards against processes that live on without one of their loops.
TEST_CASE("A loop that an exception leaves begins again")
{
    asio::io_context context;
    int begun = 0;
    spawnLoop(context.get_executor(), "test", [&begun, &context]() -> asio::awaitable<void> {
        begun += 1;
        co_await sleepFor(std::chrono::milliseconds(1));
        if (begun < 3) {
            throw std::runtime_error("failed");
        }
        context.stop();
    });
    runContext(context, "test");
    CHECK(begun == 3);
}

TEST_CASE("A handler that throws does not keep a context from running the others")
{
    asio::io_context context;
    bool isRun = false;
    asio::post(context, []() {
        throw std::runtime_error("failed");
    });
    asio::post(context, [&isRun]() {
        isRun = true;
    });
    runContext(context, "test");
    CHECK(isRun);
}
