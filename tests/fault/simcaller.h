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
    struct Line
    {
        std::string branch{};
        std::uint64_t sequence = 1;
        std::uint64_t calls = 0;
        bool finished = false;
    };

    CallRequest requestAt(const std::string &branch, std::uint64_t sequence) const;
    void bringAgain(const CallRequest &again);
    void create();
    void nextCall(Line &line);
    void submit(Line &line, CallRequest request, int tries);
    void onReply(Line &line, const CallRequest &request, std::uint64_t submission, int tries, const Result<CallAnswer> &outcome);
    void end(int tries);
    void dispatch(SimCommand command, const Reply &reply);
    void giveUp();

    Simulation &simulation;
    ProgramId id;
    Line mainLine{"", 1, 6};
    Line agentFirst{"agent", 1, 1};
    Line agentSecond{"agent", 2, 2};
    std::uint64_t nextSubmission = 1;
    bool ending = false;
    bool done = false;
    CallRequest latest{};
    std::map<RequestId, int> openSubmissions;
};

} // namespace oleandergate::fault

#endif
