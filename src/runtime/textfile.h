#ifndef OLEANDERGATE_RUNTIME_TEXTFILE_H
#define OLEANDERGATE_RUNTIME_TEXTFILE_H

#include <optional>
#include <string>

namespace oleandergate {

//! Returns the content of \p file, or of standard input if it is "-". Returns nothing when the file cannot be opened.
std::optional<std::string> readTextFile(const std::string &file);

} // namespace oleandergate

#endif
