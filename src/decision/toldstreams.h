#ifndef OLEANDERGATE_DECISION_TOLDSTREAMS_H
#define OLEANDERGATE_DECISION_TOLDSTREAMS_H

#include "decision/ids.h"
#include "decision/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oleandergate {

//! Where a stream began. That never changes, so whoever knows it may use it however long ago it was learnt.
struct StreamOrigin
{
    std::string service{};
    std::string version{}; //!< Software version of the endpoint that wrote its first event.

    bool operator==(const StreamOrigin &) const = default;
};

//! Adds \p origin unless \p origins has it.
void addDifferent(std::vector<StreamOrigin> &origins, const StreamOrigin &origin);

//! Identifies a stream by the attempt that brought its first event and the fingerprint that all its attempts share.
std::uint64_t toldStreamKey(const RequestId &attempt, RequestFingerprint request);

//! Origins of streams that instances tell each other, so that they outlive the instance that began the stream. Not thread-safe.
class ToldStreams
{
public:
    //! Streams with the same origin.
    struct Group
    {
        StreamOrigin origin{};
        std::vector<std::uint64_t> streams{};
    };

    //! Queues a stream to be told to others.
    void tell(std::uint64_t stream, StreamOrigin origin);

    //! Returns up to \p most queued streams, and takes them out of the queue.
    std::vector<Group> takeQueued(std::size_t most);
    bool hasQueued() const;

    //! Records what another instance told.
    void onTold(const Group &group, Time now);

    //! Returns the origin that other instances told; nothing if none did, or if they told different ones.
    std::optional<StreamOrigin> find(std::uint64_t stream) const;

    //! Returns the different origins that other instances told.
    std::vector<StreamOrigin> findAll(std::uint64_t stream) const;

    //! Forgets what was told before \p before.
    void expire(Time before);

    std::size_t size() const;

private:
    struct Told
    {
        std::vector<StreamOrigin> origins{}; //!< The different ones.
        Time at{};
    };

    std::deque<std::pair<std::uint64_t, StreamOrigin>> queue;
    std::unordered_map<std::uint64_t, Told> streams;
};

} // namespace oleandergate

#endif
