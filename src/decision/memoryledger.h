#ifndef OLEANDERGATE_DECISION_MEMORYLEDGER_H
#define OLEANDERGATE_DECISION_MEMORYLEDGER_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace oleandergate {

//! What a process holds bytes for.
enum class HeldFor : std::uint8_t {
    Arriving, //!< A request that has not arrived whole.
    Request, //!< A request that is being served. It is never ended for lack of memory.
    Answer, //!< An answer of an endpoint, or an event of one.
    UnsentAnswer, //!< A whole answer that its caller has not received.
    StoreAnswer, //!< What was read from the key-value service, within bounds of its own. Always granted, and never ended; the others have the less room.
};

inline constexpr std::array<NamedValue<HeldFor>, 5> heldForNames{{
    {HeldFor::Arriving, "arriving-request"},
    {HeldFor::Request, "request"},
    {HeldFor::Answer, "answer"},
    {HeldFor::UnsentAnswer, "unsent-answer"},
    {HeldFor::StoreAnswer, "store-answer"},
}};

//! Whether a holder may hold what it asked for.
enum class MemoryVerdict : std::uint8_t {
    Granted,
    Wait, //!< Another holder is being ended. To be asked again without reading on.
    End, //!< The holder is to give up what it holds.
};

using HolderId = std::uint64_t;

//! Bounds the bytes that a process holds for others, all together.
//!
//! When they are too many, one holder at a time is ended: what grows without a stated length goes before the rest, and the largest first. So a few that
//! grow without end do not cost the others, however many these are.
class MemoryLedger
{
public:
    struct Decision
    {
        MemoryVerdict verdict = MemoryVerdict::Granted;
        std::optional<HolderId> ended{}; //!< Another holder that has to end now.
    };

    //! \p limit is in bytes.
    explicit MemoryLedger(std::size_t limit);

    HolderId open(HeldFor kind);
    void close(HolderId holder);

    //! Changes what \p holder holds bytes for. \p isBounded tells that their final number was stated.
    void describe(HolderId holder, HeldFor kind, bool isBounded);

    //! Notes that \p holder holds \p bytes now, and decides whether it may go on.
    Decision resize(HolderId holder, std::size_t bytes, Time now);

    std::size_t total() const;
    std::size_t total(HeldFor kind) const;
    std::size_t peak() const;
    std::size_t limit() const;

    //! Returns the bytes of \p holder, and what they are held for.
    std::size_t bytesOf(HolderId holder) const;
    HeldFor kindOf(HolderId holder) const;

private:
    struct Holder
    {
        HeldFor kind = HeldFor::Arriving;
        bool isBounded = false;
        std::size_t bytes = 0;
        std::optional<Time> endedAt{};
    };

    bool isEnding(Time now) const;

    //! Returns the holder to end next; nothing where none may be ended.
    std::optional<HolderId> findVictim() const;

    std::size_t maxBytes;
    std::size_t held = 0;
    std::size_t highest = 0;
    std::array<std::size_t, heldForNames.size()> heldByKind{};
    std::map<HolderId, Holder> holders;
    HolderId nextHolder = 1;
    HolderId lastEnded = 0;
};

} // namespace oleandergate

#endif
