#ifndef OLEANDERGATE_PROGRAMS_OLEANDERCTL_LINEDIFF_H
#define OLEANDERGATE_PROGRAMS_OLEANDERCTL_LINEDIFF_H

#include <string>

namespace oleandergate {

//! Returns the lines that differ, prefixed by "-" if only in \p before and "+" if only in \p after; empty when the texts are equal.
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace oleandergate

#endif
