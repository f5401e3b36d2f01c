#ifndef OLEANDERGATE_FAULT_RECORDER_H
#define OLEANDERGATE_FAULT_RECORDER_H

#include "decision/error.h"
#include "decision/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergate::fault {

//! A request as an endpoint saw it.
struct Arrival
{
    Time at{};
    std::size_t endpoint = 0;
    ProgramId program{};
    std::string branch{};
    std::uint64_t sequence = 0;
    RequestId request{};
    std::uint64_t submission = 0; //!< Which of the caller's submissions it stems from.
    bool repeatable = true;
    Tokens tokens = 0;
};

//! A caller was told that a request did not run.
struct NotExecutedClaim
{
    Time at{};
    RequestId request{};
    std::uint64_t submission = 0;
    bool otherSubmissionsOpen = false; //!< The caller had another submission of the request open and unanswered.
};

//! An answer that a caller received.
struct ReceivedAnswer
{
    ProgramId program{};
    RequestId request{};
    std::string body{};
    bool historyPending = false;
};

//! What the outside saw: the evidence of the checks.
struct Recorder
{
    std::vector<Arrival> arrivals{};
    std::vector<NotExecutedClaim> notExecutedClaims{};
    std::vector<ReceivedAnswer> answers{};
    std::vector<std::string> violations{}; //!< Found while the run went on.
    std::map<std::size_t, Time> leavingSince{}; //!< By endpoint, as the instance list shows it.
    std::set<ProgramId> endedPrograms{};
    std::size_t refused = 0;
    Duration longestWait{};
};

//! Returns the answer that an endpoint gives to a request, whole.
inline std::string expectedAnswer(const ProgramId &program, const RequestId &request)
{
    return "answer of " + program + " to " + request + ".";
}

} // namespace oleandergate::fault

#endif
