#include "runtime/eventlog.h"

#include "runtime/clock.h"

#include <boost/json.hpp>

namespace oleandergate {

EventLog::EventLog(const std::string &file, std::string process)
    : process(std::move(process))
{
    if (!file.empty()) {
        this->out.open(file, std::ios::app);
    }
}

void EventLog::record(Step step, const ProgramId &program, const RequestId &request, const std::string &detail)
{
    if (!this->out.is_open()) {
        return;
    }
    const boost::json::object event{{"at", currentTime().time_since_epoch().count()},
                                    {"process", this->process},
                                    {"step", stepName(step)},
                                    {"program", program},
                                    {"request", request},
                                    {"detail", detail}};
    const std::lock_guard lock(this->mutex);
    this->out << boost::json::serialize(event) << '\n' << std::flush;
}

} // namespace oleandergate
