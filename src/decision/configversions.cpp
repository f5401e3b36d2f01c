#include "decision/configversions.h"

namespace oleandergate {

ApplyDecision decideApply(const ConfigStamp &active, std::uint64_t expected, const std::string &nonce)
{
    if (active.version != 0 && active.nonce == nonce) {
        return ApplyDecision::AlreadyApplied;
    }
    return active.version == expected ? ApplyDecision::Write : ApplyDecision::Conflict;
}

bool isNewerConfig(std::uint64_t active, std::uint64_t offered)
{
    return offered > active;
}

} // namespace oleandergate
