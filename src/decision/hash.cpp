#include "decision/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace oleandergate {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hashText(std::uint64_t hash)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    return text.data();
}

SlotId slotOf(const ProgramId &program, SlotId slotCount)
{
    return static_cast<SlotId>(hashOf(program) % slotCount);
}

} // namespace oleandergate
