#ifndef OLEANDERGATE_DECISION_BRANCHSTATE_H
#define OLEANDERGATE_DECISION_BRANCHSTATE_H

#include "decision/ids.h"

#include <vector>

namespace oleandergate {

//! Order and conversation of one branch of a program.
struct BranchState
{
    std::uint64_t nextSequence = 1;
    std::vector<std::uint64_t> messageHashes{}; //!< Conversation of the latest model turn.
    EndpointId lastEndpoint{}; //!< Where the branch's prefix is likely cached.
};

} // namespace oleandergate

#endif
