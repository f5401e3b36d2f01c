#include "gateway/milliseconds.h"

namespace oleandergate {

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(duration).count());
}

} // namespace oleandergate
