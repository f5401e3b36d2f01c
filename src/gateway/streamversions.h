#ifndef OLEANDERGATE_GATEWAY_STREAMVERSIONS_H
#define OLEANDERGATE_GATEWAY_STREAMVERSIONS_H

#include "decision/ids.h"
#include "decision/streamrecord.h"
#include "decision/streamretention.h"
#include "decision/toldstreams.h"
#include "decision/versionsource.h"
#include "decision/versiontable.h"
#include "gateway/prefixfollower.h"
#include "gateway/versionrecords.h"
#include "runtime/asyncsignal.h"
#include "runtime/pendingresult.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <random>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class AssignmentNews;
class Counter;
class GatewayConfigurationHolder;
class Metrics;
class PeerClient;
class PeerGossip;
class PoolSet;
class RouteTargetRecords;
class StreamNews;

//! A stream, as far as its software version depends on it.
struct StreamIdentity
{
    RequestId attempt{}; //!< The attempt that brought, or is to bring, its first event; of a take-up that names none, the take-up itself.
    std::string service{};
    std::size_t bucket = 0;
    RequestFingerprint request = 0; //!< All attempts of the stream share it.
    bool isAttemptKnown = true; //!< No for a take-up that does not name the attempt that began the stream.
};

//! Knows the software version at which a stream has to go on, whichever instance began it. Thread-safe.
//!
//! New streams of resumable routes start at the version to which their bucket is assigned (see VersionBuckets). The assignment is in the key-value
//! service, with a leased record of what each change replaced. Streams in buckets that were moved not long ago are recorded one by one.
//!
//! A stream is taken up by what cannot change any more: where it began, as this instance, or another one that sent it, remembers, or what the key-value service
//! holds after the take-up arrived. What was read before may have been replaced by a change that only others know.
//!
//! An instance that has not read the assignments asks its peers for theirs. Until it knows them, no stream begins here without a record of its own: that no
//! assignment is known does not mean that there is none. The same holds for one that learns from its peers that it has missed a change, and for one that
//! neither hears of them nor has read the assignments lately: the key-value service may fail for one instance alone.
class StreamVersions
{
public:
    struct Parts
    {
        boost::asio::io_context &context; //!< Runs the calls to the key-value service.
        KeyValueService &service;
        PoolSet &pools;
        const GatewayConfigurationHolder &configurationHolder;
        PeerGossip &gossip;
        RouteTargetRecords &targets; //!< Its records are read together with the assignments.
        Metrics &metrics;
        PeerClient &peers;
        AssignmentNews &news;
        StreamNews &streamNews;
    };

    StreamVersions(const Parts &parts, InstanceId self);

    //! Starts to follow the assignments and to propose changes.
    void start();

    //! Answers a peer that asks for the assignments. Returns nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message) const;

    //! Waits a moment until the assignments are known, as far as the peers know them.
    boost::asio::awaitable<void> awaitAssignments();

    //! Returns the version at which the stream should begin; nothing when the service has no assignment, or none is known.
    std::optional<std::string> assignedVersion(const StreamIdentity &stream) const;

    //! Returns whether \ref record() has to succeed before the stream may begin at \p version.
    bool needsRecord(const StreamIdentity &stream, const std::string &version, Time now) const;

    //! Stores the version of a stream. Fails with ServiceUnavailable when the key-value service does not confirm it in time.
    boost::asio::awaitable<Result<void>> record(StreamIdentity stream, std::string version);

    //! Records that a stream is sent to an endpoint of \p version, to begin or to go on there.
    void onSend(const StreamIdentity &stream, const std::string &version);

    //! Records that events of the stream were forwarded from an endpoint of \p version: from now on it can go on at this version only.
    void onEvents(const StreamIdentity &stream, const std::string &version);

    //! Records the end of the answer to \p stream. With \p isBroken the caller has a part of it and may take it up.
    void onEnded(const StreamIdentity &stream, bool isBroken, Time now);

    //! Returns where the stream began, if this instance sent it or was told by the one that did. \p request is for the log.
    std::optional<StreamOrigin> knownOrigin(const StreamIdentity &stream, const RequestId &request);

    //! Returns whether the records in the key-value service were read at \p time or later; reads them if necessary.
    boost::asio::awaitable<bool> confirmRecords(Time time);

    //! Asks the other instances where the stream began, when the key-value service does not tell. Fails with VersionUnknown if none knows, or they disagree.
    boost::asio::awaitable<Result<StreamOrigin>> askPeersFor(StreamIdentity stream, RequestId request);

    //! Returns the version that began a stream, by records that confirmRecords() has just confirmed. Fails with VersionUnknown when they do not tell.
    boost::asio::awaitable<Result<std::string>> findByRecords(StreamIdentity stream, RequestId request);

    //! Returns whether the process was paused and has not read the assignments since.
    bool hasStoodStill(Time now) const;

    //! Returns whether the process was paused until a moment ago. Requests that had waited for it come before the news of what has changed meanwhile.
    bool hasJustStoodStill(Time now) const;

    //! Returns whether the assignments have been read, or received from a peer, since the process was paused.
    bool isSettled(Time now) const;

    //! Forgets streams that have ended.
    void expire(Time now);

private:
    //! An attempt, which callers may name wrongly, and the fingerprint of its request.
    using StreamKey = std::pair<RequestId, RequestFingerprint>;

    struct KnownStream
    {
        StreamIdentity identity{};
        std::string version{};
        std::uint32_t records = 0; //!< Stored so far.
        bool recordedVersion = false; //!< A record of \ref version is stored or queued.
        std::optional<Time> endedAt{};
        bool isBroken = false; //!< It ended, and its caller may take it up.
        bool isWithdrawn = false; //!< It ended without any event, and its records were withdrawn.
        bool hasEvents = false; //!< Events of it were forwarded from \ref version. An attempt without any is no stream that could be taken up.
    };

    //! What the other instances answer, as far as they have.
    struct PeerAnswers;

    struct QueuedRecord
    {
        StreamKey stream{};
        std::string key{};
        std::string requestKey{}; //!< For the same record by the fingerprint of the request.
        std::string version{};
        std::optional<KvPut> mark{}; //!< Stored together with the record: the bucket has diverted streams. Its lease is not set yet.
        std::shared_ptr<PendingResult<bool>> pending{}; //!< Whether it was stored, for a stream that waits for it.
    };

    void load(const KvRange &range);
    void apply(const KvEvent &event);

    //! Applies one record. \p before is the table as it was known, to tell whether the record is new. Returns whether it is a mark of diverted streams.
    bool put(const KvPair &pair, const VersionTable &before);
    std::set<std::string> listedVersions(const std::string &service) const;

    //! Notes at which version a stream is to run here.
    KnownStream &remember(const StreamIdentity &stream, const std::string &version);

    //! Queues a record of the stream if its bucket alone does not tell its version.
    void recordIfOpen(KnownStream &stream);

    //! Queues records of the streams under way whose bucket does not tell their version any more.
    void recordMoved();
    void enqueueRecord(KnownStream &stream, std::optional<KvPut> mark, std::shared_ptr<PendingResult<bool>> pending);

    //! Returns the mark that has to be stored before \p stream may begin off its assignment; nothing when all instances have been told not long ago.
    std::optional<KvPut> divertedMark(const StreamIdentity &stream, const std::string &version, Time now) const;
    void startWriting();
    boost::asio::awaitable<void> writeRecords();
    boost::asio::awaitable<bool> writeBatch(const std::vector<QueuedRecord> &batch);

    //! Returns the number of entries that \p record adds to a transaction.
    static std::size_t entriesOf(const QueuedRecord &record);
    static StreamKey keyOf(const StreamIdentity &stream);

    //! Notes whether \p batch was stored, and tells the streams that wait for it. Returns the records that have to be written again: those that no
    //! stream waits for.
    std::vector<QueuedRecord> onWritten(std::vector<QueuedRecord> batch, bool stored, Time now);

    //! Writes records again that could not be stored.
    boost::asio::awaitable<void> repeatLater(std::vector<QueuedRecord> records);
    boost::asio::awaitable<std::uint64_t> leaseForRecords();

    //! Reads the pairs with \p prefix. Returns nothing when the key-value service does not answer in time.
    boost::asio::awaitable<std::optional<KvRange>> readRange(std::string prefix);

    //! Reads the record of a stream by the attempt that began it. It stays unknown when the key-value service does not answer in time.
    boost::asio::awaitable<StreamRecord> readRecord(StreamIdentity stream);

    //! Reads which versions the records of all attempts of a request name. Returns nothing when the key-value service does not answer in time.
    boost::asio::awaitable<std::optional<std::set<std::string>>> readRequestRecords(RequestFingerprint request);

    //! Returns where the stream that the query names began, by the memory of this instance and what it was told.
    std::vector<StreamOrigin> originsFor(const StreamOriginQuery &query) const;
    boost::asio::awaitable<void> askPeerFor(std::shared_ptr<PeerAnswers> answers, std::string peer, StreamOriginQuery query);
    std::vector<std::string> peerAddresses() const;

    //! Asks a peer for the assignments if they could not be read so far, another one knows a later change, or this instance may have missed one.
    void askPeer(Time now);
    boost::asio::awaitable<void> fetchFrom(std::string peer);
    void take(const VersionRecordsReply &reply, const std::string &peer, Time askedAt);

    //! Returns whether the assignments were read, or received from a peer. The mutex is held.
    bool isKnown() const;

    //! Returns whether the assignments may still be in force; see AssignmentCurrency. The mutex is held.
    bool isCurrent(Time now) const;

    //! Returns up to which revision changes are known, from the key-value service or a peer. The mutex is held.
    std::uint64_t seenRevision() const;

    //! Has the assignments confirmed by the key-value service when that is due.
    void confirmWhenDue(Time now);

    //! Returns whether this instance may have missed a change: it stood still, or nobody has confirmed its assignments for a while.
    bool isOutOfStep(Time now) const;

    //! Returns whether nobody seems to reach the key-value service, as far as most of the instances tell.
    bool isOutageForAll(Time now) const;

    boost::asio::awaitable<void> reload();
    void catchUp(Time now);

    //! Logs that the version of a stream cannot be told, and returns the error for its caller.
    Error refuse(const StreamIdentity &stream, const RequestId &request, const std::string &reason);
    std::string onFound(const StreamIdentity &stream, const RequestId &request, const std::string &version, VersionSource source);

    //! Notices pauses, and has the assignments confirmed. Waits for nothing else, so that a call that hangs is not taken for a pause.
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> proposeLoop();
    boost::asio::awaitable<void> proposeFor(std::string service, Time now);
    boost::asio::awaitable<void> propose(std::string service, VersionBuckets current, VersionBuckets planned);

    //! Returns how many live instances are to propose changes before this one.
    std::size_t proposerRank() const;

    Parts parts;
    InstanceId self;
    PrefixFollower follower;
    Counter &recordsStored;
    Counter &recordsFailed;
    Counter &unknownVersions;
    std::array<Counter *, versionSourceNames.size()> foundVersions;
    std::mt19937_64 random;
    // Used on the context's thread only, up to the mutex.
    std::map<std::string, Time> dueSince; //!< By service: since when a change of its assignment is due.
    std::uint64_t lease = 0;
    Time leaseRenewAt{};
    Duration leasedLifetime{}; //!< Of streams, for which \ref lease is long enough.
    Time proposeAgainAt{};
    std::atomic<Time> tickedAt{Time{}}; //!< When tickLoop() last ran, which it does many times a second unless the process stands still.
    std::atomic<Time> delayedAt{Time{}}; //!< When it was last found to be late, so that reports may have waited for it.
    std::atomic<Time> wokeAt{Time{}}; //!< When it was last found to have stood still.
    std::atomic<bool> stoodStill{false}; //!< The process was paused, and the assignments have not been read since.
    std::atomic<bool> reloading{false};
    std::atomic<Time> failedAt{Time{}}; //!< When the latest reading began that failed.
    AsyncSignal readingEnded;
    bool fetching = false;
    Time fetchAgainAt{};
    mutable std::mutex mutex; //!< Guards the members below.
    VersionTable table;
    std::map<std::string, KvPair> records; //!< What \ref table was made of, by key, for peers.
    bool loaded = false;
    std::optional<std::uint64_t> handedRevision{}; //!< Revision of the latest assignments that a peer sent.
    std::atomic<Time> handedAt{Time{}}; //!< When a peer last sent some, or the same ones again.
    StreamRetention streamTime;
    Duration retention; //!< Longer than any stream lasts over all attempts.
    std::map<std::string, Time> movedAt; //!< By service: when the assignment was seen to change.
    std::map<std::string, Time> markedAt; //!< By key: when the mark of diverted streams was last written, by any instance.
    std::map<StreamKey, KnownStream> streams; //!< Sent by this instance, by the attempt that began them.
    std::deque<QueuedRecord> queue;
    bool writing = false;
};

} // namespace oleandergate

#endif
