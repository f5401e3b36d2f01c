#ifndef OLEANDERGATE_RUNTIME_PEAKRECORD_H
#define OLEANDERGATE_RUNTIME_PEAKRECORD_H

#include "decision/peaklimiter.h"

#include <string>

namespace oleandergate {

//! Returns the JSON form of \p ledger that is stored in the key-value service.
std::string serializePeakLedger(const PeakLedger &ledger);

//! Parses the stored form. Returns an empty ledger when \p text is not a JSON object.
PeakLedger parsePeakLedger(const std::string &text);

} // namespace oleandergate

#endif
