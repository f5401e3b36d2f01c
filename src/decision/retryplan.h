#ifndef OLEANDERGATE_DECISION_RETRYPLAN_H
#define OLEANDERGATE_DECISION_RETRYPLAN_H

#include "decision/ids.h"
#include "decision/route.h"

#include <set>

namespace oleandergate {

//! How one send to an endpoint ended.
enum class SendOutcome : std::uint8_t {
    NotSent, //!< No byte reached the endpoint.
    Refused, //!< The endpoint stated that it did not run the request.
    Answered, //!< A complete answer arrived.
    Unconfirmed, //!< A stream ended in order behind an event, which does not prove that it is complete.
    Broken, //!< The request was sent, but no complete answer arrived.
    TimedOut, //!< The request's deadline passed.
    CallerLeft, //!< The caller closed the connection.
    CutOff //!< This instance ended the send because it shuts down.
};

inline constexpr std::array<NamedValue<SendOutcome>, 8> sendOutcomeNames{{
    {SendOutcome::NotSent, "not-sent"},
    {SendOutcome::Refused, "refused"},
    {SendOutcome::Answered, "answered"},
    {SendOutcome::Unconfirmed, "unconfirmed"},
    {SendOutcome::Broken, "broken"},
    {SendOutcome::TimedOut, "timed-out"},
    {SendOutcome::CallerLeft, "caller-left"},
    {SendOutcome::CutOff, "cut-off"},
}};

//! What to do after a send.
enum class NextStep : std::uint8_t {
    Deliver, //!< Deliver the answer to the caller.
    TryElsewhere, //!< Send the request to another endpoint.
    TrySame, //!< Send the request to the same endpoint again.
    RefuseNotRun, //!< Tell the caller that the request did not run.
    FailUnknown, //!< Tell the caller that it may have run.
    FailLate, //!< Tell the caller that the deadline has passed.
    Stop //!< Do nothing: the caller is gone.
};

inline constexpr std::array<NamedValue<NextStep>, 7> nextStepNames{{
    {NextStep::Deliver, "deliver"},
    {NextStep::TryElsewhere, "try-elsewhere"},
    {NextStep::TrySame, "try-same"},
    {NextStep::RefuseNotRun, "refuse-not-run"},
    {NextStep::FailUnknown, "fail-unknown"},
    {NextStep::FailLate, "fail-late"},
    {NextStep::Stop, "stop"},
}};

//! Result of one send to an endpoint.
struct SendReport
{
    EndpointId endpoint{};
    SendOutcome outcome = SendOutcome::Broken;
    bool endpointGone = false; //!< The endpoint does not accept connections any more.
    bool endpointFailed = false; //!< The answer reports a failure of the endpoint itself.
    bool canContinue = true; //!< Another run can go on behind what the caller has; false where its position is not known.
    bool broughtEvents = false; //!< The run went on with the stream.
    bool isDoubtfulEnd
        = false; //!< With SendOutcome::Unconfirmed: it is not known that streams of the endpoint's version usually end so, or the endpoint has cut some.
    bool isUnnamedAnswer = false; //!< With SendOutcome::Broken: an answer that names no request came on a connection of earlier ones; it may be one of theirs.
};

//! Decides whether and where a request is sent again after a failed send.
//!
//! A request counts as possibly run at an endpoint once bytes were sent, unless the endpoint stated otherwise or has ended.
class RetryPlan
{
public:
    //! \p maxAttempts limits the endpoints at which the request may run.
    RetryPlan(RouteKind kind, bool resumable, std::uint32_t maxAttempts);

    //! Returns the next step after a send.
    NextStep after(const SendReport &report);

    //! Notes that the request is sent to a second endpoint while the first send is under way.
    void onFurtherSend(const EndpointId &endpoint);

    //! Returns true when the request may have run at some endpoint.
    bool mayHaveRun() const;

    //! Returns the endpoints to which the request is not sent again.
    const std::set<EndpointId> &avoided() const;

    //! Returns the endpoints whose runs left the stream's end open where it stands now, and those whose open ends another run has disproved. Neither are
    //! good witnesses of its end, the latter less than the former.
    const std::set<EndpointId> &openEndsAt() const;
    const std::set<EndpointId> &disprovedEndsAt() const;

    //! Returns whether the request may be sent again after it may have run.
    bool repeatable() const;

private:
    NextStep afterBroken(const SendReport &report);
    NextStep afterUnconfirmed(const SendReport &report);
    NextStep afterNotRun(const SendReport &report);

    RouteKind kind;
    bool resumable;
    std::uint32_t maxAttempts;
    std::uint32_t refusals = 0;
    std::uint32_t repeats = 0;
    std::uint32_t furtherConfirmations = 0;
    bool possiblyExecuted = false;
    std::set<EndpointId> possiblyExecutedAt;
    std::set<EndpointId> avoid;
    std::set<EndpointId> openEnds;
    std::set<EndpointId> disprovedEnds;
};

} // namespace oleandergate

#endif
