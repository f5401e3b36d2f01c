#ifndef OLEANDERGATE_RUNTIME_TEXTFILE_H
#define OLEANDERGATE_RUNTIME_TEXTFILE_H

#include <optional>
#include <string>

namespace oleandergate {

//! Returns the content of \p file; "-" stands for standard input. Nothing when it cannot be read.
std::optional<std::string> readTextFile(const std::string &file);

} // namespace oleandergate

#endif
