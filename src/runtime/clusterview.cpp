#include "runtime/clusterview.h"

#include "runtime/jsonaccess.h"
#include "runtime/storekeys.h"

#include <boost/json.hpp>

namespace oleandergate {

namespace json = boost::json;

namespace {

InstanceRecord parseInstance(const KvPair &pair)
{
    const json::object object = parseJsonObject(pair.value);
    InstanceRecord record;
    record.id = pair.key.substr(std::string(instancePrefix).size());
    record.peerAddress = jsonText(object, "peer");
    record.domain = jsonText(object, "domain");
    record.leaving = jsonFlag(object, "leaving");
    return record;
}

} // namespace

std::string serializeInstance(const InstanceRecord &record)
{
    return json::serialize(json::object{{"peer", record.peerAddress}, {"domain", record.domain}, {"leaving", record.leaving}});
}

std::string serializeSlot(const SlotRecord &record)
{
    return json::serialize(json::object{{"owner", record.owner}, {"epoch", record.epoch}});
}

SlotRecord parseSlot(const KvPair &pair)
{
    SlotRecord record;
    if (pair.revision == 0) {
        return record;
    }
    const json::object object = parseJsonObject(pair.value);
    record.owner = jsonText(object, "owner");
    const json::value *epoch = object.if_contains("epoch");
    record.epoch = epoch != nullptr && epoch->is_int64() ? static_cast<std::uint64_t>(epoch->get_int64()) : 0;
    record.revision = pair.revision;
    return record;
}

ClusterView::ClusterView(InstanceId self, SlotId slotCount, Duration leaseLength)
    : ownId(std::move(self))
    , totalSlots(slotCount)
    , table(this->ownId, slotCount)
{
    this->connectivity.leaseLength = leaseLength;
}

const InstanceId &ClusterView::self() const
{
    return this->ownId;
}

SlotId ClusterView::slotCount() const
{
    return this->totalSlots;
}

void ClusterView::load(const KvRange &range, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->table.clear();
    for (const KvPair &pair : range.pairs) {
        this->applyPair(pair, false, now);
    }
}

void ClusterView::apply(const KvEvent &event, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->applyPair(event.pair, event.deleted, now);
}

void ClusterView::applyPair(const KvPair &pair, bool deleted, Time now)
{
    if (pair.key.starts_with(instancePrefix)) {
        if (deleted) {
            const InstanceId removed = pair.key.substr(std::string(instancePrefix).size());
            this->table.removeInstance(removed);
            this->lastHeartbeats.erase(removed);
            this->peerContacts.forget(removed);
        } else {
            this->table.putInstance(parseInstance(pair), now);
        }
        return;
    }
    if (pair.key.starts_with(slotPrefix) && !deleted) {
        this->table.putSlot(static_cast<SlotId>(trailingNumber(pair.key)), parseSlot(pair));
    }
}

void ClusterView::putSlot(SlotId slot, const SlotRecord &record)
{
    const std::lock_guard lock(this->mutex);
    this->table.putSlot(slot, record);
}

std::optional<InstanceRecord> ClusterView::ownerOf(SlotId slot) const
{
    const std::lock_guard lock(this->mutex);
    const InstanceRecord *owner = this->table.ownerOf(slot);
    return owner == nullptr ? std::nullopt : std::optional(*owner);
}

SlotRecord ClusterView::recordOf(SlotId slot) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.recordOf(slot);
}

std::vector<SlotMove> ClusterView::plan(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.plan(now);
}

std::vector<SlotId> ClusterView::lostAmong(const std::vector<SlotId> &owned) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.lostAmong(owned);
}

std::vector<InstanceRecord> ClusterView::instances() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.instances();
}

void ClusterView::recordLeaseRenewal(Time sentAt)
{
    const std::lock_guard lock(this->mutex);
    this->connectivity.leaseConfirmed = sentAt;
}

void ClusterView::recordServiceResponse(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->connectivity.lastServiceContact = std::max(this->connectivity.lastServiceContact, now);
}

void ClusterView::recordHeartbeat(const InstanceId &peer, Time sentAt, Duration serviceContactAge, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->lastHeartbeats[peer] = now;
    this->peerContacts.onReport(peer, sentAt, serviceContactAge, now);
}

Time ClusterView::lastServiceContact() const
{
    const std::lock_guard lock(this->mutex);
    return this->connectivity.lastServiceContact;
}

OperatingMode ClusterView::operatingMode(Time now) const
{
    return determineMode(this->connectivityAt(now), now);
}

Connectivity ClusterView::connectivityAt(Time now) const
{
    const std::lock_guard lock(this->mutex);
    Connectivity view = this->connectivity;
    view.lastPeerServiceContact = this->peerContacts.latest();
    for (const InstanceRecord &instance : this->table.instances()) {
        if (instance.id == this->ownId) {
            continue;
        }
        const auto heartbeat = this->lastHeartbeats.find(instance.id);
        view.knownPeers += 1;
        view.livePeers += heartbeat != this->lastHeartbeats.end() && now <= heartbeat->second + view.leaseLength ? 1 : 0;
    }
    return view;
}

} // namespace oleandergate
