#ifndef OLEANDERGATE_TESTS_SOAK_SOAKCALLER_H
#define OLEANDERGATE_TESTS_SOAK_SOAKCALLER_H

#include "decision/time.h"
#include "runtime/httpmessage.h"
#include "stopplan.h"
#include "support/callerconnection.h"

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace oleandergate::soak {

//! A request as its caller saw it.
struct Exchange
{
    const PlannedRequest *request = nullptr;
    std::size_t gateway = 0;
    Time beganAt{};
    std::optional<Time> sentAt{}; //!< When its last byte was sent.
    std::optional<Time> answeredAt{};
    HttpResponse answer{};
    std::size_t incompleteBytes = 0; //!< Received of an answer that did not arrive whole.
    std::string incompleteBody{}; //!< Of a stream that did not arrive whole.
    std::optional<Time> endedAt{}; //!< When its connection ended without a whole answer.
    support::ConnectionEnd end = support::ConnectionEnd::Open;
    bool isBehindBroken = false; //!< An answer to an earlier request was broken off, which only the end of the connection can show.
    int statusBefore = 0; //!< Of the last answer on its connection before that end; 0 for none.
};

//! State of a gateway's process that its callers follow.
struct GatewayState
{
    std::string address{};
    std::atomic<bool> gone{false};
    std::atomic<bool> quiet{false}; //!< Callers begin no further requests.
};

//! Sends the requests of one caller until its gateway is gone.
class SoakCaller
{
public:
    SoakCaller(const PlannedCaller &plan, GatewayState &state, Milliseconds readPause);

    //! Sends the requests from \p startAt on. Returns when the process is gone.
    void run(Time startAt);

    std::vector<Exchange> exchanges{};
    std::size_t strayAnswers = 0; //!< Answers, or parts of some, that nobody asked for.

private:
    bool open();

    //! Sends the requests from \p position on that go out together. Returns their number.
    std::size_t sendFrom(std::size_t position);
    void sendParts(Exchange &exchange);

    //! Receives for \p duration, and in any case what is there.
    void receiveFor(Milliseconds duration);

    //! Receives until all requests of the connection are answered or it ends, and notes it.
    void awaitAnswers();
    void noteAnswers();
    void finishConnection();

    const PlannedCaller &plan;
    GatewayState &state;
    Milliseconds readPause;
    std::unique_ptr<support::CallerConnection> connection{};
    std::size_t firstOnConnection = 0; //!< Position of the connection's first exchange.
    std::size_t answeredOnConnection = 0;
};

} // namespace oleandergate::soak

#endif
