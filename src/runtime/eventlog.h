#ifndef OLEANDERGATE_RUNTIME_EVENTLOG_H
#define OLEANDERGATE_RUNTIME_EVENTLOG_H

#include "decision/ids.h"
#include "decision/step.h"

#include <fstream>
#include <mutex>
#include <string>

namespace oleandergate {

//! Writes the events of one process to a file, one JSON object per line. oleander-timeline reads it.
class EventLog
{
public:
    //! Appends to \p file; events are discarded when \p file is empty. \p process is the name written into each event.
    EventLog(const std::string &file, std::string process);

    //! Records that \p step was reached.
    void record(Step step, const ProgramId &program, const RequestId &request, const std::string &detail);

private:
    std::string process;
    std::mutex mutex;
    std::ofstream out;
};

} // namespace oleandergate

#endif
