#ifndef OLEANDERGATE_DECISION_CONFIGVERSIONS_H
#define OLEANDERGATE_DECISION_CONFIGVERSIONS_H

#include <cstdint>
#include <string>

namespace oleandergate {

//! What identifies a stored version of the configuration.
struct ConfigStamp
{
    std::uint64_t version = 0; //!< 0 when there is none.
    std::string nonce{}; //!< Drawn by the writer for each change.
};

//! What a writer does next, having read the version in force.
enum class ApplyDecision : std::uint8_t {
    Write, //!< The expected version is in force.
    AlreadyApplied, //!< The change itself is in force; the answer to its write was lost.
    Conflict //!< Another change came first.
};

//! Returns what to do with a change on top of \p expected, marked with \p nonce.
ApplyDecision decideApply(const ConfigStamp &active, std::uint64_t expected, const std::string &nonce);

//! Returns true when \p offered takes the place of \p active. Versions never go back.
bool isNewerConfig(std::uint64_t active, std::uint64_t offered);

} // namespace oleandergate

#endif
