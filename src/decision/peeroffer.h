#ifndef OLEANDERGATE_DECISION_PEEROFFER_H
#define OLEANDERGATE_DECISION_PEEROFFER_H

#include "decision/time.h"

#include <string>

namespace oleandergate {

//! A peer that has reported newer state than this instance has.
struct PeerOffer
{
    std::string address{}; //!< Peer address.
    Time reportedAt{}; //!< When its latest report arrived.
};

} // namespace oleandergate

#endif
