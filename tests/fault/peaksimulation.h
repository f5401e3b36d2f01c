#ifndef OLEANDERGATE_FAULT_PEAKSIMULATION_H
#define OLEANDERGATE_FAULT_PEAKSIMULATION_H

#include "decision/ids.h"

#include <cstdint>

namespace oleandergate::fault {

//! What a run of the minute's cap showed.
struct PeakResult
{
    Tokens cap = 0;
    Tokens maxBilledPerMinute = 0; //!< As the supplier's clock bills it.
    Tokens charged = 0; //!< Over the whole run.
};

//! Lets instances with wrong clocks charge far more than the cap for some minutes, while writes of grants are lost,
//! late, or lose their answers and instances die. \p reduceBeforeWrite false is the deliberate defect: an instance goes on
//! with its old grant until the write of a smaller one is confirmed.
PeakResult simulatePeak(std::uint64_t seed, bool reduceBeforeWrite);

} // namespace oleandergate::fault

#endif
