#include "gateway/relaycall.h"

#include "decision/hash.h"

namespace oleandergate {

namespace {

//! Bytes of a body that identify a request whose prompt grows.
constexpr std::size_t identifyingBytes = 1024;

} // namespace

RequestIdentity identityOf(const RelayCall &call)
{
    // Each hash seeds the next one, so that parts of two requests cannot change places.
    const std::uint64_t seed = hashOf(call.target, hashOf(call.host, hashOf(call.method)));
    return RequestIdentity{hashOf(call.body, seed), hashOf(std::string_view(call.body).substr(0, identifyingBytes), seed)};
}

RequestFingerprint streamFingerprintOf(const RelayCall &call, const RequestIdentity &identity)
{
    RequestFingerprint fingerprint = identity.exact;
    for (const PromptPart &part : call.promptParts) {
        fingerprint = hashOf(part.id, fingerprint);
    }
    return call.program ? hashOf(call.program->branch, hashOf(call.program->program, fingerprint)) : fingerprint;
}

} // namespace oleandergate
