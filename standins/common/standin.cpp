#include "common/standin.h"

#include "runtime/clock.h"
#include "runtime/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <thread>

namespace oleandergate::standin {

namespace asio = boost::asio;
namespace json = boost::json;

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
    limits.body = 256 * 1024 * 1024;
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

json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t numberOf(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return fallback;
    }
    if (value->is_string()) {
        return std::strtoll(value->get_string().c_str(), nullptr, 10);
    }
    return value->is_int64() ? value->get_int64() : fallback;
}

HttpResponse jsonResponse(const json::object &object, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(object);
    return response;
}

} // namespace oleandergate::standin
