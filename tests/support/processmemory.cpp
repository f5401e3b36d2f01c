#include "processmemory.h"

#include "runtime/textfile.h"

#include <string>

namespace oleandergate::support {

std::size_t peakMemoryOf(pid_t process)
{
    const std::string status = readTextFile("/proc/" + std::to_string(process) + "/status").value_or("");
    const std::size_t at = status.find("VmHWM:");
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + 6)) * bytesPerKilobyte;
}

} // namespace oleandergate::support
