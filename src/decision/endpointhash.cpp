#include "decision/endpointhash.h"

#include "decision/hash.h"

namespace oleandergate {

std::uint32_t endpointHash(const EndpointId &endpoint)
{
    return static_cast<std::uint32_t>(hashOf(endpoint));
}

} // namespace oleandergate
