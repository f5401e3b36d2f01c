#include "streamjudge.h"

#include "soak/sightings.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace oleandergate::streamsoak {

namespace {

//! With these an answer has neither length nor chunks.
constexpr std::array unframedFaults{support::Behaviour::EndBetweenEvents,
                                    support::Behaviour::ResetBetweenEvents,
                                    support::Behaviour::EndMidEvent,
                                    support::Behaviour::Unframed,
                                    support::Behaviour::EndUnnumbered,
                                    support::Behaviour::EndBehindHalf};

//! A piece of a stream, and what wrote it.
struct Piece
{
    std::string stream{};
    std::string endpoint{};
    std::string version{};
    int number = 0;
};

Piece pieceOf(const std::string &event)
{
    constexpr std::string_view field = "data: ";
    const std::size_t at = event.find(field);
    Piece piece;
    if (at != std::string::npos) {
        std::istringstream(event.substr(at + field.size())) >> piece.stream >> piece.endpoint >> piece.version >> piece.number;
    }
    return piece;
}

bool isOfOther(const Piece &piece)
{
    return piece.endpoint.starts_with(otherService);
}

bool isWithin(const Attempt &attempt, const std::vector<TimeSpan> &spans)
{
    return std::ranges::any_of(spans, [&attempt](const TimeSpan &span) {
        return attempt.beganAt <= span.to && attempt.endedAt >= span.from;
    });
}

bool isUnframed(const SeenRun &run)
{
    return std::ranges::find(unframedFaults, run.received.behaviour) != unframedFaults.end();
}

} // namespace

StreamJudge::StreamJudge(const Seen &seen)
    : seen(seen)
{
    for (const SeenStream &stream : seen.streams) {
        this->judge(stream);
    }
}

bool StreamJudge::hasFailed() const
{
    return !this->seen.processFaults.empty() || std::ranges::any_of(this->cases, [](const Case &each) {
        return !isListed(each.breach);
    });
}

void StreamJudge::judge(const SeenStream &stream)
{
    std::set<Breach> found;
    std::set<int> numbers;
    std::optional<Piece> first;
    int last = 0;
    for (const Attempt &attempt : stream.attempts) {
        const bool isAnswered = attempt.status == 200;
        if (isAnswered && attempt.answeredId != attempt.id) {
            found.insert(Breach::Foreign);
        }
        if (soak::promisesNotRun(attempt.status) && !this->runsOf(attempt).empty()) {
            found.insert(Breach::Promise);
        }
        for (const std::string &event : attempt.events) {
            const Piece piece = pieceOf(event);
            first = first.value_or(piece);
            if (piece.stream != stream.plan->id) {
                found.insert(Breach::Foreign);
            } else if (piece.version != first->version) {
                found.insert(Breach::Versions);
            } else if (isOfOther(piece) != isOfOther(*first)) {
                found.insert(Breach::Services);
            }
            if (this->isPlain(stream, attempt)) {
                // Its numbers tell nothing of what the gateway did.
            } else if (numbers.contains(piece.number)) {
                found.insert(Breach::Twice);
            } else if (piece.number < last) {
                found.insert(Breach::Order);
            } else if (piece.number > last + 1) {
                found.insert(Breach::Gap);
            }
            numbers.insert(piece.number);
            last = std::max(last, piece.number);
        }
    }
    const bool isComplete = !stream.attempts.empty() && stream.attempts.back().status == 200 && stream.attempts.back().complete;
    const bool hasLeft = !stream.attempts.empty() && stream.attempts.back().left;
    this->whole += isComplete && numbers.size() == support::StandinEndpoint::eventCount ? 1 : 0;
    this->broken += !isComplete && !hasLeft ? 1 : 0;
    this->takenUp += std::ranges::any_of(stream.attempts,
                                         [](const Attempt &attempt) {
                                             return !attempt.lastEvent.empty();
                                         })
        ? 1
        : 0;
    for (const Breach breach : found) {
        this->add(breach, stream);
    }
    if (isComplete && last < support::StandinEndpoint::eventCount) {
        this->judgeEarlyEnd(stream);
    }
}

void StreamJudge::judgeEarlyEnd(const SeenStream &stream)
{
    const Attempt &attempt = stream.attempts.back();
    const std::vector<SeenRun> &runs = this->runsOf(attempt);
    const bool isBare = !runs.empty() && isUnframed(runs.back());
    const bool hasNumbers = attempt.events.empty() || attempt.events.back().starts_with("id: ");
    const bool isAgreed = runs.size() > 1 && std::ranges::all_of(runs, [&runs](const SeenRun &run) {
                              return isUnframed(run) && run.endpoint == runs.front().endpoint;
                          });
    this->add(!isBare                               ? Breach::Early
                  : !hasNumbers                     ? Breach::EarlyUnnumbered
                  : this->isSingle(stream, attempt) ? Breach::EarlySingle
                  : isAgreed                        ? Breach::EarlyAgreed
                                                    : Breach::Early,
              stream);
}

bool StreamJudge::isPlain(const SeenStream &stream, const Attempt &attempt) const
{
    return stream.plan->route == Route::Query && isWithin(attempt, this->seen.plain);
}

bool StreamJudge::isSingle(const SeenStream &stream, const Attempt &attempt) const
{
    return stream.plan->route == Route::Single || (stream.plan->route == Route::Query && isWithin(attempt, this->seen.unresumable));
}

void StreamJudge::add(Breach breach, const SeenStream &stream)
{
    this->cases.push_back(Case{breach, &stream});
    this->counts[breach] += 1;
}

const std::vector<SeenRun> &StreamJudge::runsOf(const Attempt &attempt) const
{
    static const std::vector<SeenRun> none;
    const auto found = this->seen.runs.find(attempt.id);
    return found == this->seen.runs.end() ? none : found->second;
}

} // namespace oleandergate::streamsoak
