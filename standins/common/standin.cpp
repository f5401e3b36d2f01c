#include "common/standin.h"

#include "runtime/clock.h"
#include "runtime/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <thread>

namespace oleandergate::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxBodyBytes = 256 * 1024 * 1024;

} // namespace

Recorder::Recorder(const std::string &file)
{
    if (!file.empty()) {
        this->out.open(file, std::ios::app);
    }
}

void Recorder::write(json::object record)
{
    if (!this->out.is_open()) {
        return;
    }
    record["at"] = currentTime().time_since_epoch().count();
    const std::lock_guard lock(this->mutex);
    this->out << json::serialize(record) << '\n' << std::flush;
}

int serve(const std::string &name, const std::string &address, unsigned threads, HttpHandler handler)
{
    setUpLog("text", "info", name);
    asio::io_context context(static_cast<int>(threads));
    HttpLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    HttpServer server(context, limits, std::move(handler), [](int status, const std::string &detail) {
        return jsonResponse(json::object{{"error", detail}}, status);
    });
    const Result<void> started = server.start(address);
    if (!started) {
        logError("standin", "cannot start", started.error());
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code & /*error*/, int /*signal*/) {
        context.stop();
    });
    std::vector<std::thread> workers;
    for (unsigned index = 1; index < threads; ++index) {
        workers.emplace_back([&context]() {
            context.run();
        });
    }
    context.run();
    for (std::thread &worker : workers) {
        worker.join();
    }
    return 0;
}

HttpResponse jsonResponse(const json::object &object, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(object);
    return response;
}

} // namespace oleandergate::standin
