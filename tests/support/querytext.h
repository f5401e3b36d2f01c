#ifndef OLEANDERGATE_SUPPORT_QUERYTEXT_H
#define OLEANDERGATE_SUPPORT_QUERYTEXT_H

#include <string>

namespace oleandergate::support {

//! Returns the value of the parameter \p name of the query in \p target, decoded as servers usually do: "#" ends the target, "+" is a space, and a
//! parameter with an invalid escape is dropped. Empty when there is none.
std::string queryText(const std::string &target, const std::string &name);

} // namespace oleandergate::support

#endif
