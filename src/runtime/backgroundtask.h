#ifndef OLEANDERGATE_RUNTIME_BACKGROUNDTASK_H
#define OLEANDERGATE_RUNTIME_BACKGROUNDTASK_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

//! Runs the coroutine that \p loop returns, which is meant to go on for the life of the process. When an exception leaves it, it is logged with \p name and
//! \p loop is called again a little later: otherwise the process would live on without the loop.
void spawnLoop(const boost::asio::any_io_executor &executor, const char *name, std::function<boost::asio::awaitable<void>()> loop);

//! Runs \p context until it is stopped. An exception that leaves one of its handlers is logged with \p name, and the others go on.
void runContext(boost::asio::io_context &context, const char *name);

} // namespace oleandergate

#endif
