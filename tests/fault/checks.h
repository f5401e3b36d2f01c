#ifndef OLEANDERGATE_FAULT_CHECKS_H
#define OLEANDERGATE_FAULT_CHECKS_H

#include <string>
#include <vector>

namespace oleandergate::fault {

class Simulation;

//! Returns one line for each violation of an invariant that callers rely on. Call it after the recovery period of a run.
//! Each line starts with the name of the check and a colon.
std::vector<std::string> checkInvariants(const Simulation &simulation);

} // namespace oleandergate::fault

#endif
