#include "decision/configversions.h"

namespace oleandergate {

ApplyVerdict judgeApply(const ConfigStamp &inForce, std::uint64_t expected, const std::string &nonce)
{
    if (inForce.version != 0 && inForce.nonce == nonce) {
        return ApplyVerdict::AlreadyApplied;
    }
    return inForce.version == expected ? ApplyVerdict::Write : ApplyVerdict::Conflict;
}

bool isNewerConfig(std::uint64_t inForce, std::uint64_t offered)
{
    return offered > inForce;
}

} // namespace oleandergate
