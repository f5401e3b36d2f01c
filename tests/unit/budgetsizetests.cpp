//! Simulates which instance owns the budget slots on large installations. Guards against budgets that count as half spent because slots
//! changed owners before any program had begun in them.

#include "decision/budgetslots.h"
#include "decision/tokenledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>

using namespace oleandergate;

namespace {

constexpr SlotId slotCount = 128;
const BudgetSlots::Limits limits{slotCount, std::chrono::seconds(20), std::chrono::seconds(60), std::chrono::seconds(4), std::chrono::milliseconds(1500)};
constexpr Time start{std::chrono::hours(1)};
constexpr Duration interval = std::chrono::milliseconds(500);

//! Instances of an installation and the records of their slots.
class Installation
{
public:
    explicit Installation(std::size_t count)
        : records(slotCount)
        , views(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const InstanceId id = "n" + std::to_string(index) + "~1";
            this->members.push_back(InstanceRecord{id, id + ":1", {}, false});
            this->slots.push_back(std::make_unique<BudgetSlots>(id, limits));
        }
    }

    //! Sets the members that each instance knows: itself and those for which \p knows, called with the index of the viewer and of the other, returns true.
    void show(const std::function<bool(std::size_t, std::size_t)> &knows)
    {
        for (std::size_t viewer = 0; viewer < this->slots.size(); ++viewer) {
            std::vector<InstanceRecord> view;
            for (std::size_t other = 0; other < this->members.size(); ++other) {
                if (other == viewer || knows(viewer, other)) {
                    view.push_back(this->members[other]);
                }
            }
            this->slots[viewer]->onMembers(view, this->now);
        }
    }

    //! Lets all instances read the records and claim slots for \p length, in an order drawn anew each time.
    void pass(Duration length)
    {
        std::vector<std::size_t> order(this->slots.size());
        std::iota(order.begin(), order.end(), 0);
        for (const Time until = this->now + length; this->now < until; this->now += interval) {
            std::shuffle(order.begin(), order.end(), this->random);
            for (const std::size_t index : order) {
                this->claimDueSlots(*this->slots[index], this->members[index].id);
            }
        }
    }

    //! Lets a new program begin in each slot at the owner that the slot's record names. Returns how many were granted a first turn without a draw.
    std::size_t beginPrograms()
    {
        std::size_t granted = 0;
        for (SlotId slot = 0; slot < slotCount; ++slot) {
            const std::size_t owner = this->indexOf(this->records[slot].owner);
            BudgetSlots &books = *this->slots[owner];
            this->read(books);
            if (books.mustMarkUsed(slot, true, this->now)) {
                this->records[slot].unused = false;
                this->records[slot].revision = ++this->revision;
                books.onRecord(slot, this->records[slot], this->now);
            }
            TokenLedger ledger;
            const TurnRequest turn{"program", 2320, 290};
            granted += ledger.reserve(turn, books.mayGrantUnrecordedShare(slot, true, this->now), this->now) == LedgerAnswer::Granted ? 1U : 0U;
        }
        return granted;
    }

    //! Returns how many slots had more than one owner.
    std::size_t claimedAgain() const
    {
        return static_cast<std::size_t>(std::count_if(this->records.begin(), this->records.end(), [](const SlotRecord &record) {
            return record.epoch > 1;
        }));
    }

    std::size_t size() const
    {
        return this->slots.size();
    }

private:
    std::size_t indexOf(const InstanceId &id) const
    {
        const auto found = std::find_if(this->members.begin(), this->members.end(), [&id](const InstanceRecord &member) {
            return member.id == id;
        });
        REQUIRE(found != this->members.end());
        return static_cast<std::size_t>(found - this->members.begin());
    }

    void read(BudgetSlots &books) const
    {
        for (SlotId slot = 0; slot < slotCount; ++slot) {
            books.onRecord(slot, this->records[slot], this->now);
        }
        books.onRecordsRead(this->now);
    }

    void claimDueSlots(BudgetSlots &books, const InstanceId &id)
    {
        if (books.plan(this->now).empty()) {
            return;
        }
        this->read(books);
        for (const SlotMove &move : books.plan(this->now)) {
            SlotRecord &record = this->records[move.slot];
            if (move.kind == SlotMove::Kind::Claim && record.revision == move.expected.revision) {
                record = SlotRecord{id, record.epoch + 1, ++this->revision, record.revision == 0 || record.unused};
                books.onRecord(move.slot, record, this->now);
            }
        }
    }

    std::vector<SlotRecord> records;
    std::vector<std::vector<bool>> views;
    std::vector<InstanceRecord> members{};
    std::vector<std::unique_ptr<BudgetSlots>> slots{};
    std::mt19937 random{1};
    std::uint64_t revision = 0;
    Time now = start;
};

//! Each instance knows a quarter of the others, a different one each.
bool knowsAQuarter(std::size_t viewer, std::size_t other)
{
    return (viewer * 7 + other) % 4 == 0;
}

bool knowsAll(std::size_t /*viewer*/, std::size_t /*other*/)
{
    return true;
}

void checkStart(std::size_t count)
{
    Installation installation(count);
    installation.show(knowsAQuarter);
    installation.pass(std::chrono::seconds(8));
    installation.show(knowsAll);
    installation.pass(std::chrono::seconds(3));
    CHECK(installation.claimedAgain() > slotCount / 4);
    CHECK(installation.beginPrograms() == slotCount);
}

void checkFalseLoss(std::size_t count)
{
    Installation installation(count);
    installation.show(knowsAll);
    installation.pass(std::chrono::seconds(3));
    // The instances of one half no longer hear the other half, and take its slots.
    installation.show([](std::size_t viewer, std::size_t other) {
        return viewer % 2 == other % 2;
    });
    installation.pass(std::chrono::seconds(3));
    installation.show(knowsAll);
    installation.pass(std::chrono::seconds(3));
    CHECK(installation.claimedAgain() > slotCount / 4);
    CHECK(installation.beginPrograms() == slotCount);
}

} // namespace

// Guards against half of each budget being presumed spent after a start in which members are known late.
TEST_CASE("Programs have whole budgets after 259 instances that know a quarter of each other have claimed the slots several times")
{
    checkStart(259);
}

TEST_CASE("Programs have whole budgets after 1,000 instances that know a quarter of each other have claimed the slots several times")
{
    checkStart(1000);
}

// Guards against half of each budget being presumed spent because live owners were taken for lost before the first program.
TEST_CASE("Programs have whole budgets after one half of 259 instances has taken the other for lost")
{
    checkFalseLoss(259);
}
