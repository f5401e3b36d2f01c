#ifndef OLEANDERGATE_BENCH_SHARING_ALLOWANCEFLEET_H
#define OLEANDERGATE_BENCH_SHARING_ALLOWANCEFLEET_H

#include "decision/allowanceissuer.h"
#include "decision/allowancereserves.h"
#include "decision/permitissuer.h"
#include "decision/permitmembers.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace oleandergate::bench {

//! How instances share the allowance of an organisation.
enum class AllowanceSharing : std::uint8_t {
    Unbounded, //!< Each instance lets everything through.
    EqualShares, //!< Each instance has the same part and asks nobody.
    PermitEach, //!< Each call is asked for.
    Reserves //!< As AllowanceIssuer and AllowanceReserves have it.
};

//! What an organisation sends, and what happens to the instances meanwhile.
struct AllowanceLoad
{
    double allowed = 100.0; //!< Calls a second; the burst is what is allowed in a second.
    double demand = 0.6; //!< As a multiple of the allowance.
    double crest = 0.0; //!< The same from the tenth to the twentieth second; 0 for no change.
    bool isSkewed = false; //!< Half of the programs arrive at one instance.
    double askLoss = 0.0; //!< Share of requests to the issuer that are not answered.
    bool issuerRestarts = false; //!< The issuer's process ends every six seconds and is replaced a second later.
    bool quarterEnds = false; //!< A quarter of the instances ends in the twelfth second.
    bool allEnd = false; //!< All instances end in the twelfth second and are replaced a second later.
    double lowered = 1.0; //!< Part of the allowance that is left from the eighth second on.
};

//! Instances that serve the programs of one organisation. Messages arrive at once; members notice changes late.
class AllowanceFleet
{
public:
    AllowanceFleet(std::size_t size, const AllowanceLoad &load, AllowanceSharing sharing, std::uint64_t seed);

    void run();

    //! Returns by how much the calls in any window exceed what the allowance and its tolerance permit, as a share of that; negative when they do not.
    double excess() const;

    //! Returns the calls that were let through, as a share of what was asked for and allowed.
    double used() const;

    //! Returns the messages to issuers for each call that was let through.
    double messagesPerCall() const;

    //! Returns the share of the begun programs that were ended by a denied call.
    double cutPrograms() const;

    //! Returns the share of the programs that were not begun.
    double refusedPrograms() const;

    static const AllowanceTolerance tolerance;

private:
    struct Instance
    {
        Instance(InstanceRecord given, std::size_t index, Time startedAt);

        InstanceRecord record;
        PermitMembers members;
        AllowanceIssuer issuer;
        AllowanceReserves reserves;
        PermitIssuer lone;
        std::size_t knownRevision = 0; //!< Of the members.
        Duration noticeDelay;
        Time silentUntil{};
        bool isUp = true;
        Time changedAt;
    };

    struct Program
    {
        std::uint64_t id = 0;
        std::size_t home = 0;
        int callsLeft = 0;
        bool hasBegun = false;
        Time waitsSince{}; //!< When the call that waits was first made; Time{} for none.
    };

    struct Event
    {
        Time time{};
        Program program{};
        bool operator<(const Event &other) const
        {
            return this->time > other.time;
        }
    };

    InstanceRecord recordOf(std::size_t index) const;
    void restart(std::size_t index, Time now);
    void changeInstances(Time now);
    void beginPrograms(Time now);
    void makeCall(Program program, Time now);

    //! Returns the wait of a call that is not let through; nothing for one that is.
    std::optional<Duration> waitFor(Instance &instance, const Program &program, Time now);
    AllowanceDecision ask(Instance &instance, const AllowanceRequest &request, Time now);
    Instance *issuerFor(Instance &instance, Time now);
    void updateMembers(Instance &instance, Time now);
    AllowanceCall callOf(const Program &program, Time now) const;

    AllowanceLoad load;
    AllowanceSharing sharing;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Event> events;
    std::vector<Time> sent;
    std::uint64_t programCount = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    std::uint64_t messages = 0;
    double asked = 0.0; //!< Calls that programs would make, capped at what is allowed.
    int generation = 0;
    std::optional<std::size_t> restarting{};
};

} // namespace oleandergate::bench

#endif
