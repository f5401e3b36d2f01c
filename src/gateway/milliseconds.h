#ifndef OLEANDERGATE_GATEWAY_MILLISECONDS_H
#define OLEANDERGATE_GATEWAY_MILLISECONDS_H

#include "decision/time.h"

#include <string>

namespace oleandergate {

//! Returns \p duration in whole milliseconds, as log fields have it.
std::string milliseconds(Duration duration);

} // namespace oleandergate

#endif
