#ifndef OLEANDERGATE_DECISION_CONFIGVERSIONS_H
#define OLEANDERGATE_DECISION_CONFIGVERSIONS_H

#include <cstdint>
#include <string>

namespace oleandergate {

//! Identifies a stored version of the configuration.
struct ConfigStamp
{
    std::uint64_t version = 0; //!< 0 when there is none.
    std::string nonce{}; //!< Random value that the writer generates for each change.
};

//! What a writer does after it has read the active version.
enum class ApplyDecision : std::uint8_t {
    Write, //!< The expected version is active.
    AlreadyApplied, //!< The change itself is active: the answer to an earlier write of it was lost.
    Conflict //!< Another change was written first.
};

//! Decides how to proceed with the change identified by \p nonce, which is based on version \p expected.
ApplyDecision decideApply(const ConfigStamp &active, std::uint64_t expected, const std::string &nonce);

//! Returns true when version \p offered replaces version \p active. Versions only increase.
bool isNewerConfig(std::uint64_t active, std::uint64_t offered);

} // namespace oleandergate

#endif
