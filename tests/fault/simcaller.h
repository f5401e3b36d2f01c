#ifndef OLEANDERGATE_FAULT_SIMCALLER_H
#define OLEANDERGATE_FAULT_SIMCALLER_H

#include "fault/siminstance.h"

#include <string>

namespace oleandergate::fault {

class Simulation;

//! One program's caller: dependent calls on the main line, a sub-agent beside it, then the end. It submits a request
//! again, with the same key, when its outcome is not known or it was refused.
class SimCaller
{
public:
    SimCaller(Simulation &simulation, std::size_t number);

    void start();
    bool isDone() const;
    const ProgramId &program() const;

    //! Submits the latest request once more at another instance.
    void duplicate();

private:
    struct CallSeries
    {
        std::string branch{};
        std::uint64_t sequence = 1;
        std::uint64_t lastSequence = 0;
        bool finished = false;
    };

    CallRequest requestAt(const std::string &branch, std::uint64_t sequence) const;
    void resubmit(const CallRequest &earlier);
    void createProgram();
    void nextCall(CallSeries &series);
    void submit(CallSeries &series, CallRequest request, int tries);
    void onReply(CallSeries &series, const CallRequest &request, std::uint64_t submission, int tries, const Result<CallAnswer> &outcome);
    void endProgram(int tries);
    void sendCommand(SimCommand command, const Reply &reply);
    void endProgramEarly();

    Simulation &simulation;
    ProgramId id;
    CallSeries mainCalls{"", 1, 6};
    CallSeries firstAgentCall{"agent", 1, 1};
    CallSeries secondAgentCall{"agent", 2, 2};
    std::uint64_t nextSubmission = 1;
    bool ending = false;
    bool done = false;
    CallRequest latestRequest{};
    std::map<RequestId, int> openSubmissions;
};

} // namespace oleandergate::fault

#endif
