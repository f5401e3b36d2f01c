#ifndef OLEANDERGATE_RUNTIME_CANCELREASON_H
#define OLEANDERGATE_RUNTIME_CANCELREASON_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Why an operation was cancelled.
enum class CancelReason : std::uint8_t {
    CallerLeft, //!< Nobody waits for the result.
    Shutdown //!< This process ends before the operation could complete.
};

inline constexpr std::array<NamedValue<CancelReason>, 2> cancelReasonNames{{
    {CancelReason::CallerLeft, "caller-left"},
    {CancelReason::Shutdown, "shutdown"},
}};

} // namespace oleandergate

#endif
