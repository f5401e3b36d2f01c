#ifndef OLEANDERGATE_DECISION_VERSIONSOURCE_H
#define OLEANDERGATE_DECISION_VERSIONSOURCE_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! What told the software version of a stream that goes on.
enum class VersionSource : std::uint8_t {
    Memory, //!< This instance sent the stream.
    Told, //!< The instance that sent it told this one.
    Peer, //!< Another instance answered that it knows.
    Record, //!< Of the attempt that began it, in the key-value service.
    RequestRecord, //!< Of all attempts of its request, in the key-value service.
    Assignment, //!< Of its bucket.
};

inline constexpr std::array<NamedValue<VersionSource>, 6> versionSourceNames{{
    {VersionSource::Memory, "memory"},
    {VersionSource::Told, "told"},
    {VersionSource::Peer, "peer"},
    {VersionSource::Record, "record"},
    {VersionSource::RequestRecord, "record-of-request"},
    {VersionSource::Assignment, "assignment"},
}};

} // namespace oleandergate

#endif
