#ifndef OLEANDERGATE_DECISION_IDS_H
#define OLEANDERGATE_DECISION_IDS_H

#include <cstdint>
#include <string>

namespace oleandergate {

using ProgramId = std::string;
using OrganisationId = std::string;
using RequestId = std::string;
using InstanceId = std::string;
using EndpointId = std::string;

//! Index of a slot. Programs are hashed to slots, and instances own whole slots.
using SlotId = std::uint32_t;

//! Number of a call, unique within one instance.
using CallId = std::uint64_t;

//! Number of a journal commit, unique within one instance.
using CommitId = std::uint64_t;

//! Hash of what a request keeps when its caller sends it again.
using RequestFingerprint = std::uint64_t;

//! Price in millionths of a unit of the operator's currency.
using MicroUnits = std::int64_t;

//! Number of model tokens.
using Tokens = std::int64_t;

} // namespace oleandergate

#endif
