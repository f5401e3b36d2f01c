#ifndef OLEANDERGATE_RUNTIME_WITNESSCONNECTION_H
#define OLEANDERGATE_RUNTIME_WITNESSCONNECTION_H

#include "decision/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace oleandergate {

//! A connection on which nothing is sent. It ends with the process that accepted it, whoever listens at the address then. To be used on one thread.
class WitnessConnection
{
public:
    //! Begins to connect to \p address.
    WitnessConnection(const boost::asio::any_io_executor &executor, const std::string &address, Duration connectTimeout);
    ~WitnessConnection();
    WitnessConnection(const WitnessConnection &) = delete;
    WitnessConnection &operator=(const WitnessConnection &) = delete;

    //! Returns whether it was established and its peer has ended it since.
    bool hasEnded() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace oleandergate

#endif
