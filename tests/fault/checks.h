#ifndef OLEANDERGATE_FAULT_CHECKS_H
#define OLEANDERGATE_FAULT_CHECKS_H

#include <string>
#include <vector>

namespace oleandergate::fault {

class Simulation;

//! Returns what a run that came to rest shows against the users' invariants.
std::vector<std::string> checkInvariants(const Simulation &simulation);

} // namespace oleandergate::fault

#endif
