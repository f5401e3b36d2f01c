#include "decision/slotreleases.h"

#include <algorithm>

namespace oleandergate {

bool SlotReleases::begin(SlotId slot)
{
    return this->maybeWritten.try_emplace(slot, false).second;
}

void SlotReleases::onWriteSent(SlotId slot)
{
    this->maybeWritten[slot] = true;
}

void SlotReleases::onWritten(SlotId slot)
{
    this->maybeWritten.erase(slot);
}

std::vector<SlotId> SlotReleases::takeCancelled(const std::vector<SlotMove> &moves, OperatingMode mode)
{
    const auto isPlanned = [&moves](SlotId slot) {
        return std::any_of(moves.begin(), moves.end(), [slot](const SlotMove &move) {
            return move.kind == SlotMove::Kind::Release && move.slot == slot;
        });
    };
    std::vector<SlotId> cancelled;
    for (const auto &[slot, sent] : this->maybeWritten) {
        if (mode == OperatingMode::Normal ? !isPlanned(slot) : !sent) {
            cancelled.push_back(slot);
        }
    }
    for (const SlotId slot : cancelled) {
        this->maybeWritten.erase(slot);
    }
    return cancelled;
}

} // namespace oleandergate
