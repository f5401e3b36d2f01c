#ifndef OLEANDERGATE_DECISION_ALLOWANCEISSUER_H
#define OLEANDERGATE_DECISION_ALLOWANCEISSUER_H

#include "decision/allowancedecision.h"
#include "decision/allowancerequest.h"

#include <optional>
#include <unordered_map>

namespace oleandergate {

//! Issues the allowance of organisations to all instances: an organisation that sends several times what it may, all at once and through every instance.
//!
//! One instance issues for an organisation. Each call that it grants, and each call of a reserve that it hands out, is taken from a token bucket. Far below
//! the allowance the reserves are large, so that most calls need no message; near it they shrink to nothing. A bucket holds what the allowance and its
//! tolerance permit at once, less the reserves that instances hold; so no window can have more calls than the allowance permits, whoever uses a reserve and
//! when.
//!
//! Programs under way go before new ones, which are begun at the rate at which the allowance covers all their calls, by the mean number of calls of the
//! organisation's programs, and not while calls of programs under way are denied.
//!
//! Not thread-safe.
class AllowanceIssuer
{
public:
    //! \p startedAt is when this process started.
    AllowanceIssuer(const AllowanceTolerance &tolerance, Time startedAt);

    //! Notes that instances have come or gone: for a window, another instance may have issued what this one is asked for first.
    void onMembersChanged(Time now);

    //! Notes that this process stood still until \p now, while another instance may have issued in its place.
    void onPaused(Time now);

    //! Decides on a call. \p share is the part of the allowance that this instance may issue: less than 1 while it has lost contact to other instances.
    AllowanceDecision decide(const AllowanceRequest &request, double share, Time now);

    //! Drops the state of organisations and programs that were idle for a minute.
    void expire(Time now);

private:
    //! What an instance holds, and how much it lately asked for.
    struct Holder
    {
        double reserve = 0.0; //!< In calls.
        Time reserveUntil{};
        double callsPerSecond = 0.0;
        Time askedAt{};
    };

    //! State of one organisation.
    struct Ledger
    {
        Allowance allowance{};
        std::uint64_t configVersion = 0;
        double level = 0.0; //!< Calls that may be granted at once.
        Time refilledAt{};
        double programLevel = 0.0; //!< Calls of programs that may begin at once.
        double calls = 0.0; //!< Granted lately while none was denied, with exponential decay.
        double programs = 0.0; //!< Begun meanwhile, with the same decay.
        double correction = 1.0; //!< Of the mean calls of a program, while that lets too many begin.
        double denied = 0.0; //!< Calls of programs under way denied in the last second or so.
        double deniedPrograms = 0.0; //!< Programs that were not begun in the same time.
        std::unordered_map<std::uint32_t, Holder> holders{}; //!< By the hash of the instance.
        std::unordered_map<std::uint64_t, Time> openPrograms{}; //!< When they last asked, by their hash.
    };

    Ledger &ledgerOf(const AllowanceRequest &request, double share, Time now);
    void refill(Ledger &ledger, double share, Time now) const;

    //! Returns how many calls may follow each other at once.
    double capacityOf(const Allowance &allowance) const;

    //! Returns the calls that an issuer may grant at once where another one may have issued before.
    double takeoverLevel(const Allowance &allowance) const;

    //! Returns how many calls the programs that begin at once may have together.
    double programCapacityOf(const Ledger &ledger) const;

    static double reservesOf(const Ledger &ledger, Time now);

    //! Returns the mean number of calls of a program.
    static double callsPerProgram(const Ledger &ledger);

    //! Returns the denial of a call; nothing if it may be granted.
    std::optional<AllowanceDecision> denialOf(Ledger &ledger, bool begins, double callsPerSecond) const;

    //! Hands out a reserve with a granted call.
    void addReserve(Ledger &ledger, Holder &holder, AllowanceDecision &decision, Time now) const;

    AllowanceTolerance tolerance;
    Time uncertainSince; //!< When instances last came or went, or this process started.
    std::unordered_map<std::uint64_t, Ledger> ledgers; //!< By the hash of the organisation.
};

} // namespace oleandergate

#endif
