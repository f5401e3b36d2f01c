#ifndef OLEANDERGATE_DECISION_STREAMRECORD_H
#define OLEANDERGATE_DECISION_STREAMRECORD_H

#include "decision/nametable.h"

#include <cstdint>
#include <string>

namespace oleandergate {

//! What the key-value service says of one stream's own record.
enum class RecordState : std::uint8_t {
    Found,
    Absent, //!< The service answered that there is none.
    Unknown //!< The service did not answer, which says nothing about the record.
};

inline constexpr std::array<NamedValue<RecordState>, 3> recordStateNames{{
    {RecordState::Found, "found"},
    {RecordState::Absent, "absent"},
    {RecordState::Unknown, "unknown"},
}};

//! The record of the software version that began a stream.
struct StreamRecord
{
    RecordState state = RecordState::Unknown;
    std::string version{}; //!< Only with RecordState::Found.
};

} // namespace oleandergate

#endif
