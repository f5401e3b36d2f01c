#include "runtime/log.h"

#include "runtime/clock.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <atomic>
#include <iostream>

namespace oleandergate {

namespace {

//! Records that may wait to be written; about one megabyte of text.
constexpr std::size_t maxQueuedRecords = 2048;

std::atomic<std::uint64_t> &droppedCount()
{
    static std::atomic<std::uint64_t> count{0};
    return count;
}

//! Overflow policy of the queue: drops and counts records while the queue is full, so that a slow reader of the log never
//! blocks a request.
class DropAndCount
{
public:
    // Boost.Log prescribes the names of these functions.
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/) // NOLINT(readability-identifier-naming)
    {
        droppedCount() += 1;
        return false;
    }
    static void on_queue_space_available() // NOLINT(readability-identifier-naming)
    {
    }
    static void interrupt()
    {
    }
};

struct LogSetup
{
    std::atomic<bool> json{false};
    std::atomic<int> minimumLevel{static_cast<int>(LogLevel::Info)};
    std::string instance{};
};

LogSetup &setup()
{
    static LogSetup instance;
    return instance;
}

std::string formatJson(LogLevel level, const char *component, const std::string &message, std::initializer_list<LogField> fields)
{
    boost::json::object record;
    record["at"] = formatTime(currentTime());
    record["level"] = nameIn(logLevelNames, level);
    record["instance"] = setup().instance;
    record["component"] = component;
    record["message"] = message;
    for (const LogField &field : fields) {
        record[field.name] = field.value;
    }
    return boost::json::serialize(record);
}

std::string formatText(LogLevel level, const char *component, const std::string &message, std::initializer_list<LogField> fields)
{
    std::string line = formatTime(currentTime()) + " " + std::string(nameIn(logLevelNames, level)) + " " + setup().instance + " " + component + ": " + message;
    for (const LogField &field : fields) {
        line += std::string(" ") + field.name + "=" + field.value;
    }
    return line;
}

} // namespace

void setUpLog(const std::string &format, const std::string &level, const std::string &instance)
{
    setup().json = format == "json";
    setup().minimumLevel = static_cast<int>(valueIn(logLevelNames, level).value_or(LogLevel::Info));
    setup().instance = instance;
    using Backend = boost::log::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    backend->auto_flush(true);
    using Queue = boost::log::sinks::bounded_fifo_queue<maxQueuedRecords, DropAndCount>;
    auto sink = boost::make_shared<boost::log::sinks::asynchronous_sink<Backend, Queue>>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void logRecord(LogLevel level, const char *component, const std::string &message, std::initializer_list<LogField> fields)
{
    if (static_cast<int>(level) < setup().minimumLevel) {
        return;
    }
    static boost::log::sources::severity_logger_mt<int> logger;
    const std::string line = setup().json ? formatJson(level, component, message, fields) : formatText(level, component, message, fields);
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

void flushLog()
{
    boost::log::core::get()->flush();
}

std::uint64_t droppedLogRecords()
{
    return droppedCount();
}

void logError(const char *component, const std::string &message, const Error &error)
{
    logRecord(LogLevel::Warning,
              component,
              message,
              {{"code", std::string(errorCodeName(error.code))}, {"step", std::string(stepName(error.step))}, {"peer", error.peer}, {"detail", error.detail}});
}

} // namespace oleandergate
