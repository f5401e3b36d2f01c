#ifndef OLEANDERGATE_RUNTIME_LOG_H
#define OLEANDERGATE_RUNTIME_LOG_H

#include "decision/error.h"

#include <initializer_list>
#include <string>

namespace oleandergate {

//! A named value beside a log message.
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

//! Sets up logging to standard output, by a thread of its own. \p format is "text" or "json".
void setUpLog(const std::string &format, const std::string &level, const std::string &instance);

//! Writes one structured record.
void logRecord(LogLevel level, const char *component, const std::string &message, std::initializer_list<LogField> fields = {});

//! Waits until all records are written. To be called before the process ends.
void flushLog();

//! Returns how many records were dropped because they came faster than they could be written.
std::uint64_t droppedLogRecords();

//! Writes one record about \p error, with its step and peer.
void logError(const char *component, const std::string &message, const Error &error);

} // namespace oleandergate

#endif
