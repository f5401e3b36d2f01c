#ifndef OLEANDERGATE_SUPPORT_PROCESSMEMORY_H
#define OLEANDERGATE_SUPPORT_PROCESSMEMORY_H

#include <sys/types.h>

#include <cstddef>

namespace oleandergate::support {

inline constexpr std::size_t bytesPerKilobyte = 1024;

//! Returns the most memory that the process \p process has had, in bytes; 0 for one that has ended.
std::size_t peakMemoryOf(pid_t process);

} // namespace oleandergate::support

#endif
