#include "decision/hash.h"

#include <xxhash.h>

namespace oleandergate {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

SlotId slotOf(const ProgramId &program, SlotId slotCount)
{
    return static_cast<SlotId>(hashOf(program) % slotCount);
}

} // namespace oleandergate
