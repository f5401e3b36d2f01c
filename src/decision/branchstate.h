#ifndef OLEANDERGATE_DECISION_BRANCHSTATE_H
#define OLEANDERGATE_DECISION_BRANCHSTATE_H

#include "decision/ids.h"

#include <vector>

namespace oleandergate {

//! Sequence position and conversation of one branch of a program.
struct BranchState
{
    std::uint64_t nextSequence = 1;
    std::vector<std::uint64_t> messageHashes{}; //!< Hashes of the messages of the latest model turn, in order.
    EndpointId lastEndpoint{}; //!< Endpoint of the latest model turn, which probably still caches the branch's prefix.
};

} // namespace oleandergate

#endif
