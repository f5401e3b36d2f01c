#ifndef OLEANDERGATE_RUNTIME_PROGRAMDOCUMENT_H
#define OLEANDERGATE_RUNTIME_PROGRAMDOCUMENT_H

#include "decision/error.h"
#include "decision/programstate.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Returns a program's state as a JSON object, which includes the turns if \p withHistory is true.
std::string describeProgram(const ProgramState &state, bool withHistory);

//! Returns a JSON array of states without histories.
std::string describePrograms(const std::vector<ProgramState> &states);

//! Returns \p error as a JSON document.
std::string describeError(const Error &error);

//! Returns the HTTP status for \p error.
int httpStatusOf(const Error &error);

//! Returns \p amount in whole units of the currency, as decimal text with six decimal places.
std::string formatMoney(MicroUnits amount);

} // namespace oleandergate

#endif
