#ifndef OLEANDERGATE_GATEWAY_RELAYCALL_H
#define OLEANDERGATE_GATEWAY_RELAYCALL_H

#include "decision/ids.h"
#include "decision/queuedcall.h"
#include "decision/time.h"
#include "runtime/httpmessage.h"

#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! The agent program to which a request belongs.
struct ProgramContext
{
    ProgramId program{};
    std::string branch{}; //!< Branch of turns: the main branch or one sub-agent.
    std::optional<Duration> timeToFinish{}; //!< Until the program should be complete.
    std::optional<Tokens> tokenBudget{}; //!< Tokens that all turns of the program may generate together.
};

//! One attempt of a caller, to be forwarded unchanged.
struct RelayCall
{
    RequestId requestId{}; //!< Unique for each attempt of a caller.
    std::string method{};
    std::string host{};
    std::string target{}; //!< Path and query.
    std::vector<HttpHeader> headers{}; //!< Those that are forwarded to the endpoint.
    std::string keyHash{}; //!< SHA-256 of the organisation's key that the caller presented; empty unless it presented exactly one.
    bool isIdentified = false; //!< The gateway tells callers' organisations apart: endpoints see no key, and only the organisation named here.
    OrganisationId organisation{}; //!< Empty for callers that need no key and have none.
    std::string body{};
    std::optional<Duration> timeLeft{}; //!< How long the caller waits.
    std::optional<std::uint64_t> resumeAfter{}; //!< Number of the last event that the caller received of an interrupted stream.
    RequestId resumedRequest{}; //!< The attempt that brought the first event of that stream; empty when not stated.
    std::optional<ProgramContext> program{};
    Tokens promptTokens = 0;
    Tokens maxTokens = 0; //!< Most tokens that this turn may generate.
    std::vector<PromptPart> promptParts{}; //!< In order; empty when the caller does not name them.
};

//! What identifies a request in every attempt of its callers. Identifiers, programs and other header fields are new in each.
struct RequestIdentity
{
    RequestFingerprint exact = 0; //!< Hash of method, host, target and body.

    //! Hash of method, host, target and the start of the body. Prompts grow at their end, so that a request that comes again with a longer prompt keeps
    //! it. Equal to \ref exact for short bodies.
    RequestFingerprint start = 0;
};

RequestIdentity identityOf(const RelayCall &call);

//! Returns a hash that all attempts of a stream share and other streams do not: of what \p call asks for, the parts of its prompt, and the branch of its
//! program. \p identity is that of \p call. Callers may leave out which attempt began the stream that they take up.
RequestFingerprint streamFingerprintOf(const RelayCall &call, const RequestIdentity &identity);

//! What the gateway adds to a call for the endpoint.
struct ForwardingOptions
{
    EndpointId expectedEndpoint{}; //!< Any other endpoint at the address has to refuse the request.
    Duration timeLeft{};
    int priority = 0; //!< 0 is the highest.
    std::optional<std::uint64_t> resumeAfter{};
    std::optional<std::int64_t> expectedWeights{}; //!< An endpoint with another version of its model's weights has to refuse the request.
};

//! What an answer states about its origin.
struct AnswerMetadata
{
    bool notRun = false; //!< The endpoint states that it did not run the request.
    bool signedByEndpoint = false;
    bool leaving = false; //!< The endpoint states that it is shutting down.
    RequestId requestId{}; //!< The request that it answers; empty when not stated.
    std::optional<std::int64_t> weights{}; //!< Version of the model's weights.
    std::optional<double> callsPerSecond{}; //!< Rate limit of the endpoint, from all instances together.
    bool hasUnreadableRateLimit = false; //!< It names a limit that is no positive finite number.
};

} // namespace oleandergate

#endif
