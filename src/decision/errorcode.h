#ifndef OLEANDERGATE_DECISION_ERRORCODE_H
#define OLEANDERGATE_DECISION_ERRORCODE_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Error codes. Their names are part of the API and do not change.
enum class ErrorCode : std::uint8_t {
    BadRequest,
    Unauthorised,
    NotFound,
    TooLarge,
    NotOwner,
    SlotMoving,
    ProgramEnded,
    ProgramExpired,
    KeyReused,
    SequenceUsed,
    SequenceGap,
    TurnLimit,
    BudgetExhausted,
    DeadlineExceeded,
    Overloaded,
    PeakReached,
    ServiceUnavailable,
    NoEndpoint,
    CrashesEndpoints,
    EndpointFailed,
    EndpointGarbled,
    OutcomeUnknown,
    Cancelled,
    Conflict,
    InvalidConfiguration,
    PeerFailed,
    Timeout,
    Internal,
    VersionUnknown,
    NotResumable,
    AllowanceExhausted,
    Count
};

//! Names of the codes in JSON errors.
inline constexpr std::array<NamedValue<ErrorCode>, static_cast<std::size_t>(ErrorCode::Count)> errorCodeNames{{
    {ErrorCode::BadRequest, "bad_request"},
    {ErrorCode::Unauthorised, "unauthorised"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::TooLarge, "too_large"},
    {ErrorCode::NotOwner, "not_owner"},
    {ErrorCode::SlotMoving, "slot_moving"},
    {ErrorCode::ProgramEnded, "program_ended"},
    {ErrorCode::ProgramExpired, "program_expired"},
    {ErrorCode::KeyReused, "idempotency_key_reused"},
    {ErrorCode::SequenceUsed, "sequence_used"},
    {ErrorCode::SequenceGap, "sequence_gap"},
    {ErrorCode::TurnLimit, "turn_limit"},
    {ErrorCode::BudgetExhausted, "budget_exhausted"},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::PeakReached, "peak_reached"},
    {ErrorCode::ServiceUnavailable, "service_unavailable"},
    {ErrorCode::NoEndpoint, "no_endpoint"},
    {ErrorCode::CrashesEndpoints, "crashes_endpoints"},
    {ErrorCode::EndpointFailed, "endpoint_failed"},
    {ErrorCode::EndpointGarbled, "endpoint_garbled"},
    {ErrorCode::OutcomeUnknown, "outcome_unknown"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::InvalidConfiguration, "invalid_configuration"},
    {ErrorCode::PeerFailed, "peer_failed"},
    {ErrorCode::Timeout, "timeout"},
    {ErrorCode::Internal, "internal"},
    {ErrorCode::VersionUnknown, "version_unknown"},
    {ErrorCode::NotResumable, "not_resumable"},
    {ErrorCode::AllowanceExhausted, "allowance_exhausted"},
}};

//! Returns the name of \p code.
constexpr std::string_view errorCodeName(ErrorCode code)
{
    return nameIn(errorCodeNames, code);
}

} // namespace oleandergate

#endif
