#ifndef OLEANDERGATE_RUNTIME_PROGRAMDOCUMENT_H
#define OLEANDERGATE_RUNTIME_PROGRAMDOCUMENT_H

#include "decision/error.h"
#include "decision/programstate.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Returns a program's state as a JSON object, with its turns when \p withHistory.
std::string describeProgram(const ProgramState &state, bool withHistory);

//! Returns a JSON list of states without histories.
std::string describePrograms(const std::vector<ProgramState> &states);

//! Returns a refusal's JSON document.
std::string describeError(const Error &error);

//! Returns the HTTP status of a refusal.
int httpStatusOf(const Error &error);

//! Returns an amount of money as decimal text.
std::string formatMoney(MicroUnits amount);

} // namespace oleandergate

#endif
