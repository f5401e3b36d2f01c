//! Compares ways to know the software version that began a stream: calls to the key-value service, delay of first events, and the share of streams
//! whose version is still known after instances were lost.

#include "decision/nametable.h"
#include "decision/versionbuckets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace oleandergate;

constexpr double runSeconds = 46.0;
constexpr double storeSeconds = 0.007; //!< A call to the key-value service, with the way there and back.
constexpr double peerSeconds = 0.003; //!< A message to another instance and back.
constexpr double batchSeconds = 0.05; //!< Time for which an instance collects records.
constexpr double gatherSeconds = 0.01; //!< Time for which a gathering instance collects them.
constexpr std::size_t gathererCount = 4;
constexpr std::size_t recordsPerCall = 32;
constexpr double longestWait = 0.25; //!< A first event waits no longer for its record.
constexpr double retentionSeconds = 6.0; //!< How long a former version of a bucket is kept.

struct Size
{
    std::size_t instances = 8;
    double streamsPerSecond = 130.0;
    std::size_t endpoints = 9;
    double callsPerSecond = 400.0; //!< Taken by the key-value service.
};

//! Ways of the design note.
enum class Way : std::uint8_t { Records, Gathered, DefaultVersion, Peers, Hash, HashAndRecords };

constexpr std::array<NamedValue<Way>, 6> wayNames{{
    {Way::Records, "a record a stream"},
    {Way::Gathered, "gathered records"},
    {Way::DefaultVersion, "default version"},
    {Way::Peers, "two peers"},
    {Way::Hash, "hash"},
    {Way::HashAndRecords, "hash, moved ones recorded"},
}};

struct Stream
{
    double startedAt = 0.0;
    double firstEventAt = 0.0;
    double endsAt = 0.0;
    std::size_t instance = 0;
    std::size_t bucket = 0;
    bool newer = false; //!< Runs at the newer version.
    double knownFrom = 0.0; //!< When its version is known beyond its instance; infinite for never.
    bool inMemory = false; //!< Known by two other instances.
    std::array<std::size_t, 2> holders{};
};

//! A move of buckets.
struct Move
{
    double at = 0.0;
    std::set<std::size_t> buckets{};
};

//! Share of the endpoints that run the newer version: none, half from 10 s to 14 s, all from 30 s to 34 s.
double newerShare(double time)
{
    const double first = std::clamp((time - 10.0) / 4.0, 0.0, 1.0);
    const double second = std::clamp((time - 30.0) / 4.0, 0.0, 1.0);
    return 0.5 * first + 0.5 * second;
}

//! Collects records into calls, each writer with one call at a time.
class Writers
{
public:
    Writers(std::size_t count, double collectSeconds, double callsPerSecond)
        : collectSeconds(collectSeconds)
        , callsPerSecond(callsPerSecond)
        , writers(count)
    {
    }

    //! Returns when a record that is made at \p time is stored; infinite when the service refuses it. Times have to increase.
    double store(std::size_t writer, double time)
    {
        Batch &batch = this->writers[writer];
        if (time > batch.sentAt || batch.records >= recordsPerCall) {
            batch.sentAt = std::max(time, batch.sentAt) + this->collectSeconds;
            batch.records = 0;
            batch.accepted = this->take(batch.sentAt);
        }
        batch.records += 1;
        return batch.accepted ? batch.sentAt + storeSeconds : INFINITY;
    }

    std::vector<double> calls{};

private:
    struct Batch
    {
        double sentAt = -1.0;
        std::size_t records = 0;
        bool accepted = true;
    };

    bool take(double time)
    {
        this->calls.push_back(time);
        const auto recent = std::count_if(this->calls.rbegin(), std::min(this->calls.rend(), this->calls.rbegin() + 4000), [time](double at) {
            return at > time - 1.0;
        });
        return static_cast<double>(recent) <= this->callsPerSecond;
    }

    double collectSeconds;
    double callsPerSecond;
    std::vector<Batch> writers;
};

std::vector<Move> movesOf(const Size &size, std::vector<VersionBuckets> &history)
{
    std::vector<Move> moves;
    VersionBuckets current(versionBucketCount, "v1");
    history.push_back(current);
    double lastMove = -10.0;
    for (double time = 0.0; time < runSeconds; time += 0.1) {
        const auto newer = static_cast<std::uint32_t>(std::lround(newerShare(time) * static_cast<double>(size.endpoints)));
        std::map<std::string, std::uint32_t> slots{{"v1", static_cast<std::uint32_t>(size.endpoints) - newer}, {"v2", newer}};
        const VersionBuckets planned = planVersionBuckets(current, slots);
        if (!isVersionMoveDue(current, planned, slots, fromSeconds(time - lastMove))) {
            continue;
        }
        Move move{time, {}};
        for (std::size_t bucket = 0; bucket < versionBucketCount; ++bucket) {
            if (planned[bucket] != current[bucket]) {
                move.buckets.insert(bucket);
            }
        }
        moves.push_back(move);
        current = planned;
        history.push_back(current);
        lastMove = time;
    }
    return moves;
}

//! Returns whether a move of \p bucket in the retention before \p time leaves its version open.
bool isOpen(const std::vector<Move> &moves, std::size_t bucket, double time)
{
    return std::any_of(moves.begin(), moves.end(), [bucket, time](const Move &move) {
        return move.at <= time && move.at > time - retentionSeconds && move.buckets.contains(bucket);
    });
}

void simulate(const Size &size, Way way, bool storeAway)
{
    std::mt19937_64 random(27);
    std::vector<VersionBuckets> history;
    const std::vector<Move> moves = storeAway ? std::vector<Move>() : movesOf(size, history);
    const bool usesGatherers = way == Way::Gathered;
    const double collect = usesGatherers ? gatherSeconds : (way == Way::HashAndRecords ? 0.0 : batchSeconds);
    Writers writers(usesGatherers ? gathererCount : size.instances, collect, storeAway ? 0.0 : size.callsPerSecond);
    std::exponential_distribution<double> gap(size.streamsPerSecond);
    std::lognormal_distribution<double> prompt(std::log(0.06), 0.5);
    std::lognormal_distribution<double> length(std::log(0.5), 0.6);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::vector<Stream> streams;
    std::vector<double> delays;
    const bool hashed = way == Way::Hash || way == Way::HashAndRecords;
    for (double time = gap(random); time < runSeconds; time += gap(random)) {
        Stream stream;
        stream.startedAt = time;
        stream.instance = random() % size.instances;
        stream.holders = {random() % size.instances, random() % size.instances};
        stream.bucket = random() % versionBucketCount;
        std::size_t epoch = 0;
        while (epoch < moves.size() && moves[epoch].at <= time) {
            epoch += 1;
        }
        const bool drawn = unit(random) < newerShare(time);
        stream.newer = hashed ? !history.empty() && history[epoch][stream.bucket] == "v2" : drawn;
        const double ready = time + prompt(random);
        double stored = INFINITY;
        switch (way) {
        case Way::Records:
            stored = writers.store(stream.instance, time);
            break;
        case Way::Gathered:
            stored = writers.store(random() % gathererCount, time) + peerSeconds;
            break;
        case Way::DefaultVersion: {
            // The default changes when most endpoints have changed; from the change's announcement on, everything is recorded for a while.
            const bool changing = time > 31.0 && time < 31.0 + retentionSeconds;
            const bool exception = time < 31.0 + retentionSeconds ? stream.newer : !stream.newer;
            stored = exception || changing ? writers.store(stream.instance, time) : 0.0;
            break;
        }
        case Way::Peers:
            stream.inMemory = true;
            break;
        case Way::Hash:
            break;
        case Way::HashAndRecords:
            stored = isOpen(moves, stream.bucket, time) ? writers.store(stream.instance, time) : INFINITY;
            break;
        }
        const bool waits = way == Way::Records || way == Way::Gathered || way == Way::DefaultVersion;
        const double delay = waits ? std::clamp(stored - ready, 0.0, longestWait) : 0.0;
        delays.push_back(delay);
        stream.knownFrom = stored;
        stream.firstEventAt = ready + delay;
        stream.endsAt = std::min(time + 4.0, stream.firstEventAt + length(random));
        streams.push_back(stream);
    }
    if (way == Way::HashAndRecords) {
        // Streams under way in moved buckets are recorded when their instance learns of the move.
        for (const Move &move : moves) {
            for (Stream &stream : streams) {
                if (stream.startedAt <= move.at && stream.endsAt > move.at && move.buckets.contains(stream.bucket)) {
                    stream.knownFrom = std::min(stream.knownFrom, writers.store(stream.instance, move.at + peerSeconds));
                }
            }
        }
    }
    std::array<std::array<double, 2>, 3> shares{}; // Known and all, after one, a third and all instances were lost.
    for (double killedAt = 8.25; killedAt < 44.0; killedAt += 0.5) {
        std::vector<bool> third(size.instances);
        for (std::size_t index = 0; index < size.instances; ++index) {
            third[index] = unit(random) < 1.0 / 3.0;
        }
        const std::size_t one = random() % size.instances;
        for (const Stream &stream : streams) {
            if (stream.firstEventAt > killedAt || stream.endsAt < killedAt) {
                continue;
            }
            const bool known = hashed ? !isOpen(moves, stream.bucket, killedAt) || stream.knownFrom <= killedAt : stream.knownFrom <= killedAt;
            const auto survives = [&stream](const auto &lost) {
                return stream.inMemory && (!lost(stream.holders[0]) || !lost(stream.holders[1]));
            };
            const auto lostOne = [one](std::size_t index) {
                return index == one;
            };
            const auto lostThird = [&third](std::size_t index) {
                return third[index];
            };
            if (lostOne(stream.instance)) {
                shares[0][0] += known || survives(lostOne) ? 1.0 : 0.0;
                shares[0][1] += 1.0;
            }
            if (lostThird(stream.instance)) {
                shares[1][0] += known || survives(lostThird) ? 1.0 : 0.0;
                shares[1][1] += 1.0;
            }
            shares[2][0] += known ? 1.0 : 0.0;
            shares[2][1] += 1.0;
        }
    }
    std::sort(delays.begin(), delays.end());
    double busiest = 0.0;
    for (double second = 0.0; second < runSeconds; second += 1.0) {
        busiest = std::max(busiest, static_cast<double>(std::count_if(writers.calls.begin(), writers.calls.end(), [second](double at) {
                               return at >= second && at < second + 1.0;
                           })));
    }
    const double calls = static_cast<double>(writers.calls.size()) + (hashed ? 2.0 * static_cast<double>(moves.size()) : 0.0);
    std::printf("| %s | %zu | %s | %.1f, %.0f | %.0f | %.2f | %.2f | %.2f |\n",
                std::string(nameIn(wayNames, way)).c_str(),
                size.instances,
                storeAway ? "yes" : "no",
                calls / runSeconds,
                busiest,
                1000.0 * delays[delays.size() * 99 / 100],
                shares[0][0] / shares[0][1],
                shares[1][0] / shares[1][1],
                shares[2][0] / shares[2][1]);
}

} // namespace

int main()
{
    std::printf("| way | instances | store away | calls a second: mean, busiest | first event later, ms at p99 | known after one | a third | all |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Size &size : {Size{8, 130.0, 9, 400.0}, Size{58, 310.0, 45, 1200.0}, Size{420, 5100.0, 3500, 3000.0}}) {
        for (const NamedValue<Way> &way : wayNames) {
            simulate(size, way.value, false);
            simulate(size, way.value, true);
        }
    }
    return 0;
}
