#ifndef OLEANDERGATE_FAULT_RECORDER_H
#define OLEANDERGATE_FAULT_RECORDER_H

#include "decision/error.h"
#include "decision/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergate::fault {

//! A request that reached an endpoint.
struct Arrival
{
    Time at{};
    std::size_t endpoint = 0;
    ProgramId program{};
    std::string branch{};
    std::uint64_t sequence = 0;
    RequestId request{};
    std::uint64_t submission = 0; //!< The caller's submission that caused it, numbered from 1 in each program.
    bool repeatable = true;
    Tokens tokens = 0;
};

//! A caller received the error that a request was not executed.
struct NotExecutedClaim
{
    Time at{};
    RequestId request{};
    std::uint64_t submission = 0;
    bool otherSubmissionsOpen = false; //!< Another submission of the same request was still unanswered.
};

//! An answer that a caller received.
struct ReceivedAnswer
{
    ProgramId program{};
    RequestId request{};
    std::string body{};
    bool historyPending = false; //!< The turn was not yet in the journal when the answer was sent.
};

//! Events observed by callers and endpoints. The checks use nothing else but the final state of the instances.
struct Recorder
{
    std::vector<Arrival> arrivals{};
    std::vector<NotExecutedClaim> notExecutedClaims{};
    std::vector<ReceivedAnswer> answers{};
    std::vector<std::string> violations{}; //!< Violations detected during the run.
    std::map<std::size_t, Time> leavingSince{}; //!< By index of the endpoint: when the endpoint list first showed it as leaving.
    std::set<ProgramId> endedPrograms{};
    std::size_t refused = 0; //!< Submissions that ended in an error, without duplicates.
    Duration longestWait{}; //!< Longest time from a submission to its final answer.
};

//! Returns the complete answer that an endpoint gives to \p request.
inline std::string expectedAnswer(const ProgramId &program, const RequestId &request)
{
    return "answer of " + program + " to " + request + ".";
}

} // namespace oleandergate::fault

#endif
