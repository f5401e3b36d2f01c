#ifndef OLEANDERGATE_RUNTIME_PEAKRECORD_H
#define OLEANDERGATE_RUNTIME_PEAKRECORD_H

#include "decision/minutepeak.h"

#include <string>

namespace oleandergate {

//! Stored form of the grants.
std::string serializePeakLedger(const PeakLedger &ledger);

//! Returns an empty ledger for a text that does not read.
PeakLedger parsePeakLedger(const std::string &text);

} // namespace oleandergate

#endif
