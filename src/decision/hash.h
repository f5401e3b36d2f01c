#ifndef OLEANDERGATE_DECISION_HASH_H
#define OLEANDERGATE_DECISION_HASH_H

#include "decision/ids.h"

#include <string_view>

namespace oleandergate {

//! Returns the XXH3 hash of \p text, seeded with \p seed.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

//! Returns \p hash as 16 hexadecimal digits.
std::string hashText(std::uint64_t hash);

//! Returns the slot, from 0 to \p slotCount - 1, that \p program belongs to.
SlotId slotOf(const ProgramId &program, SlotId slotCount);

} // namespace oleandergate

#endif
