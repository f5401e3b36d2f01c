#include "gateway/relaycall.h"

#include "decision/hash.h"

namespace oleandergate {

RequestFingerprint fingerprintOf(const RelayCall &call)
{
    // Each hash seeds the next one, so that parts of two requests cannot change places.
    return hashOf(call.body, hashOf(call.target, hashOf(call.host, hashOf(call.method))));
}

} // namespace oleandergate
