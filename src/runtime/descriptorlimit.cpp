#include "runtime/descriptorlimit.h"

#include <sys/resource.h>

namespace oleandergate {

std::size_t descriptorLimit(std::size_t configured)
{
    rlimit allowed{};
    if (configured > 0 || ::getrlimit(RLIMIT_NOFILE, &allowed) != 0 || allowed.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    return static_cast<std::size_t>(allowed.rlim_cur);
}

} // namespace oleandergate
