#ifndef OLEANDERGATE_FAULT_PEAKSIMULATION_H
#define OLEANDERGATE_FAULT_PEAKSIMULATION_H

#include "decision/ids.h"

#include <cstdint>

namespace oleandergate::fault {

//! Result of one simulated run under a cap on the tokens per minute.
struct PeakResult
{
    Tokens cap = 0;
    Tokens maxBilledPerMinute = 0; //!< Most tokens in one minute of the supplier's clock.
    Tokens charged = 0; //!< Tokens charged in the whole run.
};

//! Simulates instances with clock offsets whose demand exceeds the cap by far in some minutes. Meanwhile writes of grants
//! are lost or delayed, or only their answers are lost, and instances crash. If \p reduceBeforeWrite is false, the run has a
//! deliberate defect: an instance uses its old grant until the write of a smaller one is confirmed.
PeakResult simulatePeak(std::uint64_t seed, bool reduceBeforeWrite);

} // namespace oleandergate::fault

#endif
