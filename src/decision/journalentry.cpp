#include "decision/journalentry.h"

namespace oleandergate {

const ProgramId &programOf(const JournalEntry &entry)
{
    if (const auto *created = std::get_if<ProgramCreated>(&entry)) {
        return created->spec.id;
    }
    return std::visit(
        [](const auto &other) -> const ProgramId & {
            if constexpr (requires { other.program; }) {
                return other.program;
            } else {
                return other.spec.id;
            }
        },
        entry);
}

} // namespace oleandergate
