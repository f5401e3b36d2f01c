#ifndef OLEANDERGATE_RUNTIME_EVENTLOG_H
#define OLEANDERGATE_RUNTIME_EVENTLOG_H

#include "decision/ids.h"
#include "decision/step.h"

#include <fstream>
#include <mutex>
#include <string>

namespace oleandergate {

//! Writes the events of one process for the time line, one JSON object a line.
class EventLog
{
public:
    //! Writes to \p file; nothing is written when it is empty.
    EventLog(const std::string &file, std::string process);

    //! Notes that \p step was passed.
    void record(Step step, const ProgramId &program, const RequestId &request, const std::string &detail);

private:
    std::string process;
    std::mutex mutex;
    std::ofstream out;
};

} // namespace oleandergate

#endif
