#ifndef OLEANDERGATE_RUNTIME_DESCRIPTORLIMIT_H
#define OLEANDERGATE_RUNTIME_DESCRIPTORLIMIT_H

#include <cstddef>

namespace oleandergate {

//! Returns how many descriptors this process may have open: \p configured or, where that is 0, as many as the system allows. 0 if neither is known.
std::size_t descriptorLimit(std::size_t configured);

} // namespace oleandergate

#endif
