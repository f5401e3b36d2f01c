#ifndef OLEANDERGATE_RUNTIME_LOG_H
#define OLEANDERGATE_RUNTIME_LOG_H

#include "decision/error.h"

#include <initializer_list>
#include <string>

namespace oleandergate {

//! A named value that is logged with a message.
struct LogField
{
    const char *name = "";
    std::string value{};
};

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr std::array<NamedValue<LogLevel>, 4> logLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

//! Sets up logging to standard output; a separate thread writes the records. \p format is "text" or "json", \p level one of
//! logLevelNames ("info" if it is none of them); \p instance is written into each record.
void setUpLog(const std::string &format, const std::string &level, const std::string &instance);

//! Writes one structured record.
void logRecord(LogLevel level, const char *component, const std::string &message, std::initializer_list<LogField> fields = {});

//! Waits until all queued records are written. To be called before the process exits.
void flushLog();

//! Returns how many records were dropped because the queue to the writing thread was full.
std::uint64_t droppedLogRecords();

//! Writes one record with level Warning and the code, step, peer and detail of \p error.
void logError(const char *component, const std::string &message, const Error &error);

} // namespace oleandergate

#endif
