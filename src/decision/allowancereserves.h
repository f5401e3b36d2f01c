#ifndef OLEANDERGATE_DECISION_ALLOWANCERESERVES_H
#define OLEANDERGATE_DECISION_ALLOWANCERESERVES_H

#include "decision/allowancedecision.h"
#include "decision/allowancerequest.h"

#include <unordered_map>

namespace oleandergate {

//! What an instance does with a call that counts towards an allowance.
enum class AllowanceStep : std::uint8_t {
    LetThrough,
    Ask, //!< The issuer of the allowance decides.
    Wait //!< The issuer has denied a call of this kind, and would again.
};

//! What one instance may let through of the allowances of organisations without asking, and what their issuers denied it. Not thread-safe.
class AllowanceReserves
{
public:
    struct Verdict
    {
        AllowanceStep step = AllowanceStep::Ask;
        bool begins = false; //!< As far as this instance knows, the call is the first one of its program.
        AllowanceBound bound = AllowanceBound::None; //!< Why the call has to wait.
        Duration wait{};
        AllowanceRequest request{}; //!< For the issuer.
    };

    //! \p self is the hash of this instance's identifier.
    explicit AllowanceReserves(std::uint32_t self);

    //! Notes that a call arrived. To be called once for each.
    void onArrival(const AllowanceCall &call, Time now);

    //! Decides on a call, and takes it from the reserve if there is one. To be called again after a wait.
    Verdict decide(const AllowanceCall &call, Time now);

    //! Processes the decision on \p call, of its issuer or of this instance alone.
    void onDecision(const AllowanceCall &call, const AllowanceDecision &decision, Time now);

    //! Takes a call from a reserve that has more than one. Returns false if there is none.
    bool takeSpare(std::uint64_t organisation, Time now);

    //! Gives back a call that was let through and not sent.
    void giveBack(std::uint64_t organisation, Time now);

    //! Drops the state of organisations and programs without a call for a while.
    void expire(Time now);

private:
    struct State
    {
        std::uint32_t reserve = 0;
        Time reserveUntil{};
        std::uint32_t used = 0; //!< From the reserve, since the last request to the issuer.
        double callsPerSecond = 0.0; //!< That arrived lately.
        Time arrivedAt{};
        Time deniedUntil{};
        Time beginningDeniedUntil{}; //!< For calls that begin programs.
    };

    std::uint32_t self;
    std::unordered_map<std::uint64_t, State> states; //!< By the hash of the organisation.
    std::unordered_map<std::uint64_t, Time> openPrograms; //!< When they last made a call here, by their hash.
};

} // namespace oleandergate

#endif
