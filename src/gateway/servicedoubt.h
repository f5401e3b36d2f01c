#ifndef OLEANDERGATE_GATEWAY_SERVICEDOUBT_H
#define OLEANDERGATE_GATEWAY_SERVICEDOUBT_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Why it is not known which service began a stream that its caller takes up.
enum class ServiceDoubt : std::uint8_t {
    None,
    OtherService, //!< This instance sent it to another service than the one to which its route leads now.
    OutdatedConfiguration, //!< This instance may have missed a change.
    RecordUnread, //!< The record of targets has not been read since the configuration arrived.
    RecordBehind, //!< Nobody could record the configuration yet, nor those that others may have had in between.
    SeveralServices, //!< Streams of the route went to another service not long ago.
    Unresumable, //!< Streams of the route could not be resumed not long ago.
};

inline constexpr std::array<NamedValue<ServiceDoubt>, 7> serviceDoubtNames{{
    {ServiceDoubt::None, "none"},
    {ServiceDoubt::OtherService, "begun at another service"},
    {ServiceDoubt::OutdatedConfiguration, "the configuration may be outdated"},
    {ServiceDoubt::RecordUnread, "the record of targets could not be read"},
    {ServiceDoubt::RecordBehind, "the record of targets is behind the configuration"},
    {ServiceDoubt::SeveralServices, "several services may have begun the stream"},
    {ServiceDoubt::Unresumable, "the stream may have begun while its route could not be resumed"},
}};

} // namespace oleandergate

#endif
