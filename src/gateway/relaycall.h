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

//! The agent program that a request belongs to.
struct ProgramContext
{
    ProgramId program{};
    std::string branch{}; //!< Line of turns: the main line or one sub-agent.
    std::optional<Duration> timeToFinish{}; //!< Until the program should be done.
    std::optional<Tokens> tokenBudget{}; //!< Tokens that all turns of the program together may generate.
};

//! One attempt of a caller, to be passed on unchanged.
struct RelayCall
{
    RequestId requestId{}; //!< Unique for each attempt of a caller.
    std::string method{};
    std::string host{};
    std::string target{}; //!< Path and query.
    std::vector<HttpHeader> headers{}; //!< Those that go on to the endpoint.
    std::string body{};
    std::optional<Duration> timeLeft{}; //!< How long the caller waits.
    std::optional<std::uint64_t> resumeAfter{}; //!< Number of the last event that the caller has of a broken stream.
    std::optional<ProgramContext> program{};
    Tokens promptTokens = 0;
    Tokens maxTokens = 0; //!< Most tokens that this turn generates.
    std::vector<PromptPart> parts{};
};

//! What the gateway tells an endpoint beside the call itself.
struct ForwardingOptions
{
    EndpointId expectedEndpoint{}; //!< Any other endpoint at the address has to refuse.
    Duration timeLeft{};
    int priority = 0; //!< 0 goes first.
    std::optional<std::uint64_t> resumeAfter{};
};

//! What an answer says about its origin.
struct AnswerMetadata
{
    bool notRun = false; //!< The endpoint states that it did not run the request.
    bool signedByEndpoint = false;
    RequestId requestId{}; //!< The request it answers; empty when it names none.
};

} // namespace oleandergate

#endif
