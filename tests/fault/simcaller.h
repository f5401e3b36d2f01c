#ifndef OLEANDERGATE_FAULT_SIMCALLER_H
#define OLEANDERGATE_FAULT_SIMCALLER_H

#include "fault/siminstance.h"

#include <string>

namespace oleandergate::fault {

class Simulation;

//! Simulates the caller of one program: dependent calls on the main branch, two calls of a sub-agent on a second branch,
//! then the end of the program. It submits a request again with the same request id if the request was refused or its
//! outcome is unknown.
class SimCaller
{
public:
    SimCaller(Simulation &simulation, std::size_t number);

    //! Creates the program; the calls follow.
    void start();
    //! Whether the end of the program was confirmed.
    bool isDone() const;
    const ProgramId &program() const;

    //! Submits the latest request a second time, at any live instance.
    void duplicate();

private:
    //! Calls of one branch that are made one after the other, with sequence numbers up to \ref lastSequence.
    struct CallSeries
    {
        std::string branch{};
        std::uint64_t sequence = 1; //!< Sequence number of the next call.
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
    std::map<RequestId, int> openSubmissions; //!< Number of unanswered submissions.
};

} // namespace oleandergate::fault

#endif
