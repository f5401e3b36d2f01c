//! Plays how instances confirm the assignments of software versions and tell each other: calls to the key-value service, reports, and whether a stream may
//! ever begin by an assignment that was replaced too long ago. Arguments: seeds a row, and optionally the number of instances and a row's name.

#include "decision/assignmentcurrency.h"
#include "decision/transittable.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace oleandergate;

constexpr Duration ms = std::chrono::milliseconds(1);
constexpr Duration runTime = std::chrono::seconds(60);
constexpr Duration warmUp = std::chrono::seconds(3);
constexpr Duration stepTime = 10 * ms;
constexpr Duration storeTime = 8 * ms;
constexpr Duration storeTimeout = 1000 * ms;
constexpr double lostShare = 0.02;
constexpr double clockError = 0.01;

// As in the gateway.
constexpr Duration reportInterval = 50 * ms;
constexpr Duration newsInterval = 5 * ms;
constexpr Duration tickInterval = 100 * ms;
constexpr Duration unnoticedPause = 250 * ms;
constexpr Duration drainTime = 200 * ms;
constexpr Duration standstill = 500 * ms;
constexpr Duration retryDelay = 1000 * ms;
constexpr Duration fetchInterval = 100 * ms;
constexpr Duration refetchInterval = 500 * ms;
constexpr std::size_t broadcastPeers = 12;
constexpr std::size_t rotationTargets = 3;
constexpr std::size_t domainTargets = 16;
constexpr std::size_t domains = 8;

//! What a row changes. The default is what the gateway does.
struct Rules
{
    const char *name = "as is";
    bool hasTroubles = false;
    bool hasOutages = false; //!< The key-value service is away for all now and then.
    bool pausesWhileSending = false; //!< Pauses fall between making a report and sending it.
    Duration allowance{}; //!< Added to the age that a report states instead of what is measured; zero for that.
    double lateAskers = 0.0; //!< How many instances ask in each tick after the first turns, on average; zero for all.
    bool tellsConfirmationsAtOnce = true; //!< No: only changes are urgent.
    Duration statementInterval = 400 * ms; //!< Counts when only changes are urgent.
    bool askerTellsAll = false; //!< Who asked the key-value service tells all peers itself.
    Duration confirmationAge{}; //!< With the next two, replaces the turns; zero for those of AssignmentCurrency.
    Duration turnDelay{};
    std::size_t lastTurn = 0;
};

enum class Kind : std::uint8_t {
    Send,
    Tick,
    News,
    Report,
    StoreRead,
    StoreAnswer,
    StoreFailure,
    Watch,
    FetchQuery,
    FetchReply,
    Change,
    Trouble,
    TroubleEnd,
    Step
};

struct Event
{
    Duration at{};
    std::uint64_t number = 0;
    Kind kind = Kind::Step;
    std::size_t instance = 0;
    std::size_t from = 0;
    std::uint64_t revision = 0;
    Duration age{}; //!< Of a confirmation; not known if negative.
    Time askedAt{}; //!< Of a report, when it was made.
};

struct Later
{
    bool operator()(const Event &one, const Event &other) const
    {
        return one.at != other.at ? one.at > other.at : one.number > other.number;
    }
};

//! Where an instance's confirmation came from, for the account of a violation.
struct Origin
{
    const char *kind = "none";
    std::size_t from = 0;
    Duration at{};
    Duration age{};
};

struct Instance
{
    AssignmentCurrency currency{};
    TransitTable transits{};
    double rate = 1.0;
    Duration offset{};
    Duration pausedUntil{};
    std::optional<Duration> pauseWhenSending{};
    bool watchIsSilent = false;
    bool stoodStill = false;
    bool isReloading = false;
    bool changeIsUrgent = false;
    std::size_t statementsOfChange = 0;
    bool newsIsPlanned = false;
    Duration newsAgainAt{};
    Time tickedAt{};
    Time delayedAt{};
    Time failedAt{};
    Time readAt{};
    Time statedAt{};
    Time fetchAgainAt{};
    std::size_t nextPeer = 0;
    std::size_t nextDomainPeer = 0;
    Origin origin{};
};

enum class Direction : std::uint8_t { Both, Out, In };

struct Trouble
{
    std::vector<std::size_t> cutOff{};
    Direction direction = Direction::Both;
    bool isFromStore = false;
    Duration cutAt{};
    Duration cutFor{};
    std::vector<std::size_t> paused{};
    Duration pausedFor{};
};

struct Figures
{
    double seconds = 0.0;
    std::size_t calls = 0;
    std::size_t busiestSecond = 0;
    std::size_t datagrams = 0;
    std::size_t statements = 0;
    std::size_t steps = 0;
    std::size_t stepsWithout = 0;
    std::size_t stepsBehind = 0; //!< Of these, because a peer knows a later change.
    Duration longestAge{};
    std::size_t violations = 0;
    std::size_t seedsWithViolations = 0;
};

class Run
{
public:
    Run(std::size_t count, const Rules &rules, std::uint64_t seed)
        : rules(rules)
        , seed(seed)
        , random(seed)
        , instances(count)
        , callsIn(static_cast<std::size_t>(runTime / std::chrono::seconds(1)) + 2)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Instance &instance = this->instances[i];
            instance.rate = 1.0 + clockError * (this->share() - 0.5);
            instance.offset = this->between(Duration{}, 5000 * ms);
            instance.nextPeer = this->random() % count;
            instance.nextDomainPeer = this->random() % count;
            instance.watchIsSilent = rules.hasTroubles && this->share() < 0.1 / static_cast<double>(count);
            instance.currency.onKnown(1);
            this->plan(this->between(Duration{}, reportInterval), Kind::Send, i);
            this->plan(this->between(Duration{}, tickInterval), Kind::Tick, i);
        }
        this->plan(this->between(1000 * ms, 4000 * ms), Kind::Change, 0);
        this->plan(Duration{}, Kind::Step, 0);
        if (rules.hasTroubles || rules.hasOutages) {
            this->plan(this->between(warmUp, warmUp + 2000 * ms), Kind::Trouble, 0);
        }
    }

    void play(Figures &figures)
    {
        this->figures = &figures;
        const std::size_t before = figures.violations;
        while (this->events.top().at < runTime) {
            Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
        }
        figures.seconds += toSeconds(runTime - warmUp);
        figures.busiestSecond = std::max(figures.busiestSecond, *std::max_element(this->callsIn.begin(), this->callsIn.end()));
        figures.seedsWithViolations += figures.violations > before ? 1 : 0;
    }

private:
    double share()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    Duration between(Duration from, Duration to)
    {
        return from + Duration(static_cast<Duration::rep>(this->share() * static_cast<double>((to - from).count())));
    }

    Time localTime(const Instance &instance) const
    {
        return Time{} + std::chrono::hours(1) + instance.offset + Duration(static_cast<Duration::rep>(static_cast<double>(this->now.count()) * instance.rate));
    }

    void plan(Duration at, Kind kind, std::size_t instance)
    {
        Event event;
        event.at = at;
        event.kind = kind;
        event.instance = instance;
        this->plan(event);
    }

    void plan(Event event)
    {
        event.number = this->nextNumber++;
        this->events.push(event);
    }

    bool isCutOff(std::size_t instance) const
    {
        return std::find(this->trouble.cutOff.begin(), this->trouble.cutOff.end(), instance) != this->trouble.cutOff.end();
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        const bool leaves = this->isCutOff(from);
        if (leaves == this->isCutOff(to) || this->trouble.direction == (leaves ? Direction::In : Direction::Out)) {
            return true;
        }
        return false;
    }

    bool reachesStore(std::size_t instance) const
    {
        return !this->trouble.isFromStore || !this->isCutOff(instance);
    }

    //! Number of the live instances below \p end that \p instance knows, itself included.
    std::size_t liveBelow(std::size_t end, std::size_t instance) const
    {
        const auto count = static_cast<Duration::rep>(this->instances.size());
        const bool hearAll = this->instances.size() <= broadcastPeers + 1;
        const Duration period = reportInterval * ((count - 1) / static_cast<Duration::rep>(rotationTargets));
        const Duration unaided = std::max<Duration>(1800 * ms, period * 7 / 2);
        const Duration limit = hearAll ? 1800 * ms : std::min<Duration>(unaided, 4000 * ms + 2 * ms * count);
        if (this->trouble.cutOff.empty() || this->now - this->trouble.cutAt < limit) {
            return end;
        }
        std::size_t live = 0;
        for (std::size_t other = 0; other < end; ++other) {
            live += this->reaches(other, instance) ? 1 : 0;
        }
        return live;
    }

    std::size_t rankOf(std::size_t instance) const
    {
        return this->liveBelow(instance, instance);
    }

    std::size_t liveCountOf(std::size_t instance) const
    {
        return this->liveBelow(this->instances.size(), instance);
    }

    std::vector<std::size_t> targetsOf(std::size_t sender)
    {
        const std::size_t count = this->instances.size();
        std::vector<std::size_t> targets;
        const auto add = [&targets, sender](std::size_t target) {
            if (target != sender && std::find(targets.begin(), targets.end(), target) == targets.end()) {
                targets.push_back(target);
            }
        };
        Instance &instance = this->instances[sender];
        const std::size_t rotated = count <= broadcastPeers + 1 ? count : rotationTargets;
        for (std::size_t taken = 0; taken < rotated; ++taken) {
            add(instance.nextPeer++ % count);
        }
        const std::size_t inDomain = (count - sender % domains + domains - 1) / domains;
        for (std::size_t taken = 0; taken < std::min(domainTargets, inDomain); ++taken) {
            add(sender % domains + domains * (instance.nextDomainPeer++ % inDomain));
        }
        return targets;
    }

    bool hasNews(const Instance &instance) const
    {
        return this->rules.tellsConfirmationsAtOnce ? instance.currency.hasNews() : instance.changeIsUrgent;
    }

    bool isStatementDue(const Instance &instance) const
    {
        const Time time = this->localTime(instance);
        if (this->rules.tellsConfirmationsAtOnce) {
            return instance.currency.isStatementDue(time);
        }
        return instance.changeIsUrgent || instance.statementsOfChange > 0 || time - instance.statedAt >= this->rules.statementInterval;
    }

    void state(std::size_t sender, const std::vector<std::size_t> &targets)
    {
        Instance &instance = this->instances[sender];
        const Time time = this->localTime(instance);
        instance.currency.onStatementSent(time);
        instance.changeIsUrgent = false;
        instance.statementsOfChange -= instance.statementsOfChange > 0 ? 1 : 0;
        instance.statedAt = time;
        Duration held{};
        if (instance.pauseWhenSending) {
            held = *instance.pauseWhenSending;
            instance.pauseWhenSending.reset();
            instance.pausedUntil = this->now + held;
        }
        if (this->now >= warmUp) {
            this->figures->statements += 1;
            this->figures->datagrams += targets.size();
        }
        for (const std::size_t target : targets) {
            Event report;
            report.at = this->now + held + this->between(1 * ms, 5 * ms);
            report.kind = Kind::Report;
            report.instance = target;
            report.from = sender;
            report.revision = instance.currency.knownRevision();
            report.askedAt = time;
            report.age = instance.currency.confirmedAt() == Time{} ? -1 * ms : std::max(Duration::zero(), time - instance.currency.confirmedAt());
            if (this->share() >= lostShare && (held > Duration::zero() || this->reaches(sender, target))) {
                this->plan(report);
            }
        }
    }

    //! Load reports state when they were made, and come with each step.
    void sendLoadReports(std::size_t sender, const std::vector<std::size_t> &targets)
    {
        for (const std::size_t target : targets) {
            Instance &receiver = this->instances[target];
            if (this->now >= receiver.pausedUntil && this->reaches(sender, target) && this->share() >= lostShare) {
                const Time arrival = this->localTime(receiver) + this->between(1 * ms, 5 * ms);
                receiver.transits.onReport(nameOf(sender), this->localTime(this->instances[sender]), arrival);
            }
        }
    }

    static InstanceId nameOf(std::size_t instance)
    {
        return "front-" + std::to_string(instance);
    }

    //! Returns for how long a report may have waited; nothing if that is not known.
    std::optional<Duration> waitOf(const Event &report)
    {
        if (this->rules.allowance > Duration::zero()) {
            return this->rules.allowance;
        }
        const Time time = this->localTime(this->instances[report.instance]);
        TransitTable &transits = this->instances[report.instance].transits;
        const std::optional<Duration> wait = transits.waitOf(nameOf(report.from), report.askedAt, time);
        transits.onReport(nameOf(report.from), report.askedAt, time);
        return wait;
    }

    void stateIfDue(std::size_t sender)
    {
        const std::vector<std::size_t> targets = this->targetsOf(sender);
        if (this->rules.allowance == Duration::zero()) {
            this->sendLoadReports(sender, targets);
        }
        if (this->isStatementDue(this->instances[sender])) {
            this->state(sender, targets);
        }
    }

    void passOn(std::size_t sender)
    {
        Instance &instance = this->instances[sender];
        if (this->hasNews(instance) && !instance.newsIsPlanned) {
            instance.newsIsPlanned = true;
            this->plan(std::max(this->now, instance.newsAgainAt), Kind::News, sender);
        }
    }

    void onKnown(std::size_t receiver, std::uint64_t revision)
    {
        Instance &instance = this->instances[receiver];
        if (revision > instance.currency.knownRevision()) {
            instance.changeIsUrgent = true;
            instance.statementsOfChange = 3;
        }
        instance.currency.onKnown(revision);
        this->passOn(receiver);
    }

    void onConfirmed(std::size_t receiver, std::uint64_t revision, Time askedAt, const Origin &origin)
    {
        Instance &instance = this->instances[receiver];
        const Time before = instance.currency.confirmedAt();
        instance.currency.onConfirmed(revision, askedAt);
        if (instance.currency.confirmedAt() != before) {
            instance.origin = origin;
        }
    }

    bool isConfirmationDue(std::size_t asker)
    {
        const Instance &instance = this->instances[asker];
        const Time time = this->localTime(instance);
        const std::size_t rank = this->rankOf(asker);
        if (this->rules.lateAskers > 0.0 && rank >= 4 && this->share() * static_cast<double>(this->liveCountOf(asker)) > this->rules.lateAskers) {
            return false;
        }
        if (this->rules.confirmationAge == Duration::zero()) {
            return instance.currency.isConfirmationDue(rank, time);
        }
        const auto turn = static_cast<Duration::rep>(std::min(rank, this->rules.lastTurn));
        return time - instance.currency.confirmedAt() >= this->rules.confirmationAge + this->rules.turnDelay * turn;
    }

    void ask(std::size_t asker)
    {
        Instance &instance = this->instances[asker];
        instance.isReloading = true;
        if (this->now >= warmUp) {
            this->figures->calls += 1;
            this->callsIn[static_cast<std::size_t>(this->now / std::chrono::seconds(1))] += 1;
        }
        const bool arrives = this->reachesStore(asker);
        Event call;
        call.at = this->now + (arrives ? storeTime / 2 : storeTimeout);
        call.kind = arrives ? Kind::StoreRead : Kind::StoreFailure;
        call.instance = asker;
        call.askedAt = this->localTime(instance);
        this->plan(call);
    }

    void tick(std::size_t number)
    {
        Instance &instance = this->instances[number];
        const Time time = this->localTime(instance);
        const Time before = std::exchange(instance.tickedAt, time);
        if (before != Time{} && time - before > unnoticedPause) {
            instance.delayedAt = time;
        }
        instance.stoodStill = instance.stoodStill || (before != Time{} && time - before > standstill);
        if (instance.stoodStill && !instance.isReloading) {
            this->ask(number);
        }
        if (instance.readAt != Time{}) {
            this->onConfirmed(number, instance.currency.knownRevision(), instance.readAt, Origin{"own call", number, this->now, time - instance.readAt});
            this->passOn(number);
        }
        if (time - instance.failedAt >= retryDelay && !instance.isReloading && this->isConfirmationDue(number)) {
            this->ask(number);
        }
        const bool isBehind = instance.currency.isBehind();
        const bool isOutOfStep = instance.stoodStill || time - instance.currency.confirmedAt() > assignmentLifetime;
        if ((isBehind || isOutOfStep) && time >= instance.fetchAgainAt) {
            instance.fetchAgainAt = time + (isBehind ? fetchInterval : refetchInterval);
            Event query;
            query.at = this->now + this->between(1 * ms, 5 * ms);
            query.kind = Kind::FetchQuery;
            query.instance = this->random() % this->instances.size();
            query.from = number;
            query.askedAt = time;
            if (query.instance != number && this->reaches(number, query.instance)) {
                this->plan(query);
            }
        }
        this->plan(this->now + tickInterval, Kind::Tick, number);
    }

    void onReport(const Event &event)
    {
        Instance &instance = this->instances[event.instance];
        const Time time = this->localTime(instance);
        const bool hasJustPaused = time - instance.tickedAt > unnoticedPause || time - instance.delayedAt < drainTime;
        instance.currency.onStated(event.revision);
        const std::optional<Duration> wait = this->waitOf(event);
        if (!hasJustPaused && wait && event.age >= Duration::zero() && event.age <= assignmentLifetime) {
            this->onConfirmed(event.instance, event.revision, time - *wait - event.age, Origin{"report", event.from, this->now, event.age});
        }
    }

    void onStoreAnswer(const Event &event)
    {
        Instance &instance = this->instances[event.instance];
        instance.isReloading = false;
        instance.readAt = event.askedAt;
        instance.stoodStill = instance.stoodStill && event.askedAt - instance.tickedAt > standstill;
        this->onKnown(event.instance, event.revision);
        this->onConfirmed(event.instance, instance.currency.knownRevision(), event.askedAt, Origin{"own call", event.instance, this->now, Duration{}});
        if (this->rules.askerTellsAll) {
            std::vector<std::size_t> all;
            for (std::size_t target = 0; target < this->instances.size(); ++target) {
                if (target != event.instance) {
                    all.push_back(target);
                }
            }
            this->state(event.instance, all);
        }
        this->passOn(event.instance);
    }

    void onFetch(const Event &event)
    {
        const Instance &instance = this->instances[event.instance];
        if (event.kind == Kind::FetchQuery) {
            const Time time = this->localTime(instance);
            Event reply = event;
            reply.kind = Kind::FetchReply;
            reply.at = this->now + this->between(1 * ms, 5 * ms);
            std::swap(reply.instance, reply.from);
            reply.revision = instance.currency.knownRevision();
            reply.age = time - instance.currency.confirmedAt();
            if (instance.currency.isCurrent(false, time) && this->reaches(event.instance, event.from)) {
                this->plan(reply);
            }
        } else if (event.revision >= instance.currency.knownRevision() && event.age <= assignmentLifetime) {
            this->onKnown(event.instance, event.revision);
            this->onConfirmed(event.instance, event.revision, event.askedAt - event.age, Origin{"answer", event.from, this->now, event.age});
        }
    }

    void change()
    {
        this->plan(this->now + this->between(2000 * ms, 6000 * ms), Kind::Change, 0);
        const std::size_t writer = this->random() % this->instances.size();
        if (!this->reachesStore(writer) || this->now < this->instances[writer].pausedUntil) {
            return;
        }
        this->writtenAt.push_back(this->now);
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            Event event;
            event.at = this->now + this->between(2 * ms, 10 * ms);
            event.kind = Kind::Watch;
            event.instance = number;
            event.revision = this->writtenAt.size();
            if (!this->reachesStore(number)) {
                event.at += this->trouble.cutAt + this->trouble.cutFor - this->now + this->between(Duration{}, 1000 * ms);
            }
            if (!this->instances[number].watchIsSilent) {
                this->plan(event);
            }
        }
    }

    std::vector<std::size_t> someInstances()
    {
        const std::size_t count = this->instances.size();
        std::vector<std::size_t> chosen{this->random() % count};
        if (this->share() < 0.5) {
            // Half of the pairs are of the same failure domain.
            const std::size_t distance = this->share() < 0.5 && count > domains ? domains : 1 + this->random() % (count - 1);
            chosen.push_back((chosen.front() + distance) % count);
        }
        return chosen;
    }

    void beginTrouble()
    {
        this->trouble = Trouble();
        if (this->rules.hasOutages) {
            this->beginOutage();
            return;
        }
        const double kind = this->share();
        Duration longest{};
        if (kind < 0.75) {
            this->trouble.cutOff = this->someInstances();
            this->trouble.direction = std::array{Direction::Both, Direction::Both, Direction::Out, Direction::In}.at(this->random() % 4);
            this->trouble.isFromStore = this->share() < 0.6;
            this->trouble.cutAt = this->now;
            this->trouble.cutFor = this->between(50 * ms, 5000 * ms);
            longest = this->trouble.cutFor;
        }
        if (kind > 0.4) {
            // Together with a cut, mostly one of those that are cut off.
            this->trouble.paused = this->trouble.cutOff.empty() || this->share() < 0.3 ? this->someInstances() : std::vector{this->trouble.cutOff.front()};
            this->trouble.pausedFor = this->share() < 0.3 ? this->between(200 * ms, 500 * ms) : this->between(50 * ms, 5000 * ms);
            longest = std::max(longest, this->trouble.pausedFor);
        }
        for (const std::size_t number : this->trouble.paused) {
            if (this->rules.pausesWhileSending) {
                this->instances[number].pauseWhenSending = this->trouble.pausedFor;
            } else {
                this->instances[number].pausedUntil = this->now + this->trouble.pausedFor;
            }
        }
        this->plan(this->now + std::max(this->trouble.cutFor, 1 * ms), Kind::TroubleEnd, 0);
        this->plan(this->now + longest + this->between(500 * ms, 4000 * ms), Kind::Trouble, 0);
    }

    void beginOutage()
    {
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            this->trouble.cutOff.push_back(number);
        }
        this->trouble.isFromStore = true;
        this->trouble.cutAt = this->now;
        this->trouble.cutFor = this->between(50 * ms, 5000 * ms);
        this->plan(this->now + this->trouble.cutFor, Kind::TroubleEnd, 0);
        this->plan(this->now + this->trouble.cutFor + this->between(3000 * ms, 6000 * ms), Kind::Trouble, 0);
    }

    void check()
    {
        this->plan(this->now + stepTime, Kind::Step, 0);
        if (this->now < warmUp) {
            return;
        }
        const Duration allowed = fromSeconds(toSeconds(assignmentLifetime) / (1.0 - clockError / 2.0)) + 1 * ms;
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            const Instance &instance = this->instances[number];
            if (this->now < instance.pausedUntil) {
                continue;
            }
            const Time time = this->localTime(instance);
            const bool isCurrent = instance.currency.isCurrent(false, time);
            this->figures->steps += 1;
            this->figures->stepsWithout += isCurrent ? 0 : 1;
            this->figures->stepsBehind += instance.currency.isBehind() ? 1 : 0;
            this->figures->longestAge = std::max(this->figures->longestAge, time - instance.currency.confirmedAt());
            const std::uint64_t known = instance.currency.knownRevision();
            if (isCurrent && known < this->writtenAt.size() && this->now - this->writtenAt[known] > allowed) {
                this->onViolation(number, this->now - this->writtenAt[known]);
            }
        }
    }

    void onViolation(std::size_t number, Duration replacedFor)
    {
        this->figures->violations += 1;
        if (this->figures->violations > 1) {
            return;
        }
        const Instance &instance = this->instances[number];
        std::printf("violation: %s, %zu instances, seed %llu, at %.3f s: instance %zu knows revision %llu, replaced %.3f s ago; it counts as confirmed %.3f s "
                    "ago by %s of %zu at %.3f s, which stated an age of %.3f s\n",
                    this->rules.name,
                    this->instances.size(),
                    static_cast<unsigned long long>(this->seed),
                    toSeconds(this->now),
                    number,
                    static_cast<unsigned long long>(instance.currency.knownRevision()),
                    toSeconds(replacedFor),
                    toSeconds(this->localTime(instance) - instance.currency.confirmedAt()),
                    instance.origin.kind,
                    instance.origin.from,
                    toSeconds(instance.origin.at),
                    toSeconds(instance.origin.age));
        std::printf("  cut off since %.3f s for %.3f s, %s the store, direction %d:",
                    toSeconds(this->trouble.cutAt),
                    toSeconds(this->trouble.cutFor),
                    this->trouble.isFromStore ? "also from" : "not from",
                    static_cast<int>(this->trouble.direction));
        for (const std::size_t other : this->trouble.cutOff) {
            std::printf(" %zu", other);
        }
        std::printf("; paused for %.3f s:", toSeconds(this->trouble.pausedFor));
        for (const std::size_t other : this->trouble.paused) {
            std::printf(" %zu (until %.3f s)", other, toSeconds(this->instances[other].pausedUntil));
        }
        std::printf("\n");
    }

    void handle(Event &event)
    {
        const bool isOfInstance = event.kind < Kind::Change && event.kind != Kind::StoreRead;
        Instance &instance = this->instances[event.instance];
        if (isOfInstance && this->now < instance.pausedUntil) {
            // What waited for a paused process is taken up in any order.
            event.at = instance.pausedUntil + this->between(Duration{}, event.kind == Kind::Report ? 20 * ms : 2 * ms);
            this->plan(event);
            return;
        }
        switch (event.kind) {
        case Kind::Send:
            this->plan(this->now + reportInterval, Kind::Send, event.instance);
            this->stateIfDue(event.instance);
            break;
        case Kind::Tick:
            this->tick(event.instance);
            break;
        case Kind::News:
            instance.newsIsPlanned = false;
            instance.newsAgainAt = this->now + newsInterval;
            if (this->hasNews(instance)) {
                this->stateIfDue(event.instance);
            }
            break;
        case Kind::Report:
            this->onReport(event);
            break;
        case Kind::StoreRead:
            event.kind = this->reachesStore(event.instance) ? Kind::StoreAnswer : Kind::StoreFailure;
            event.at = this->now + (event.kind == Kind::StoreAnswer ? storeTime / 2 : storeTimeout);
            event.revision = this->writtenAt.size();
            this->plan(event);
            break;
        case Kind::StoreAnswer:
            this->onStoreAnswer(event);
            break;
        case Kind::StoreFailure:
            instance.isReloading = false;
            instance.failedAt = event.askedAt;
            break;
        case Kind::Watch:
            this->onKnown(event.instance, event.revision);
            break;
        case Kind::FetchQuery:
        case Kind::FetchReply:
            this->onFetch(event);
            break;
        case Kind::Change:
            this->change();
            break;
        case Kind::Trouble:
            this->beginTrouble();
            break;
        case Kind::TroubleEnd:
            this->trouble.cutOff.clear();
            break;
        case Kind::Step:
            this->check();
            break;
        }
    }

    Rules rules;
    std::uint64_t seed;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<std::size_t> callsIn;
    std::vector<Duration> writtenAt{Duration{}}; //!< By revision, from 1.
    std::priority_queue<Event, std::vector<Event>, Later> events{};
    std::uint64_t nextNumber = 0;
    Duration now{};
    Trouble trouble{};
    Figures *figures = nullptr;
};

//! Returns \p rules with one more of the things that befall the instances.
Rules having(Rules rules, const char *name, bool Rules::*trouble)
{
    rules.name = name;
    rules.*trouble = true;
    return rules;
}

std::vector<Rules> rows()
{
    const Rules calm{.name = "calm"};
    const Rules troubles{.name = "troubles", .hasTroubles = true};
    const Rules outages{.name = "outages for all", .hasOutages = true};
    const Rules sending{.name = "paused while sending", .hasTroubles = true, .pausesWhileSending = true};
    const Rules regular{.name = "only regular statements", .tellsConfirmationsAtOnce = false};
    const Rules turns{.name = "turns of 30 ms up to 20", .confirmationAge = 1100 * ms, .turnDelay = 30 * ms, .lastTurn = 20};
    const Rules shorter{.name = "allowance of 100 ms", .allowance = 100 * ms};
    const Rules shortest{.name = "allowance of 50 ms", .allowance = 50 * ms};
    const Rules direct{.name = "asker tells all", .tellsConfirmationsAtOnce = false, .askerTellsAll = true};
    Rules rarer = direct;
    rarer.name = "asker, statements of 1 s";
    rarer.statementInterval = 1000 * ms;
    Rules rarest = direct;
    rarest.name = "asker, statements of 2 s";
    rarest.statementInterval = 2000 * ms;
    const Rules rarerTroubles = having(rarer, "asker, 1 s, troubles", &Rules::hasTroubles);
    const Rules rarerOutages = having(rarer, "asker, 1 s, outages", &Rules::hasOutages);
    const Rules fixed{.name = "allowance of 250 ms", .allowance = unnoticedPause};
    Rules fixedSending = sending;
    fixedSending.name = "250 ms, paused sending";
    fixedSending.allowance = unnoticedPause;
    const Rules spreadMore{.name = "one late asker a tick", .lateAskers = 1.0};
    const Rules spread{.name = "four late askers a tick", .lateAskers = 4.0};
    const Rules spreadOutages = having(spread, "four late, outages", &Rules::hasOutages);
    Rules all = rarer;
    all.name = "all";
    all.lateAskers = 4.0;
    Rules frequent = all;
    frequent.name = "all, statements of 400 ms";
    frequent.statementInterval = 400 * ms;
    const Rules allTroubles = having(all, "all, troubles", &Rules::hasTroubles);
    const Rules allOutages = having(all, "all, outages", &Rules::hasOutages);
    const Rules allSending = having(allTroubles, "all, paused sending", &Rules::pausesWhileSending);
    return {calm,         troubles, outages,      sending,    regular, turns,         shorter, shortest, direct,      rarer,      rarest,    rarerTroubles,
            rarerOutages, fixed,    fixedSending, spreadMore, spread,  spreadOutages, all,     frequent, allTroubles, allOutages, allSending};
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::uint64_t seeds = arguments.empty() ? 2 : std::stoull(arguments[0]);
    const std::size_t only = arguments.size() > 1 ? std::stoull(arguments[1]) : 0;
    const std::string named = arguments.size() > 2 ? arguments[2] : std::string();
    std::printf("%-26s %9s %5s %9s %9s %11s %10s %10s %9s %9s %10s\n",
                "row",
                "instances",
                "seeds",
                "calls/s",
                "busiest",
                "datagrams/s",
                "reports/s",
                "longest s",
                "without",
                "behind",
                "violations");
    std::size_t violations = 0;
    for (const std::size_t count : {3, 8, 60, 295, 420}) {
        for (const Rules &rules : rows()) {
            if ((only != 0 && only != count) || (!named.empty() && named != rules.name)) {
                continue;
            }
            Figures figures;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Run(count, rules, seed).play(figures);
            }
            const double instanceSeconds = figures.seconds * static_cast<double>(count);
            const auto steps = static_cast<double>(figures.steps);
            std::printf("%-26s %9zu %5llu %9.2f %9zu %11.1f %10.2f %10.3f %8.3f%% %8.3f%% %6zu/%zu\n",
                        rules.name,
                        count,
                        static_cast<unsigned long long>(seeds),
                        static_cast<double>(figures.calls) / figures.seconds,
                        figures.busiestSecond,
                        static_cast<double>(figures.datagrams) / instanceSeconds,
                        static_cast<double>(figures.statements) / instanceSeconds,
                        toSeconds(figures.longestAge),
                        100.0 * static_cast<double>(figures.stepsWithout) / steps,
                        100.0 * static_cast<double>(figures.stepsBehind) / steps,
                        figures.violations,
                        figures.seedsWithViolations);
            std::fflush(stdout);
            violations += figures.violations;
        }
    }
    return violations == 0 ? 0 : 1;
}
