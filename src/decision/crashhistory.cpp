#include "decision/crashhistory.h"

#include "decision/hash.h"

#include <algorithm>
#include <string>

namespace oleandergate {

namespace {

//! A request that ended so many endpoints one after the other is taken for the cause.
constexpr std::uint32_t crashesToRefuse = 3;

//! From so many crashes on a request runs apart from others, so that its next crash hits as few of them as possible.
constexpr std::uint32_t crashesToIsolate = 2;

//! An isolated run begins so long after the latest crash, plus a multiple of the step that depends on its request: suspects of the same crash
//! start one after the other, so that the later ones keep away from the endpoints of the earlier ones.
constexpr Duration isolationDelay = std::chrono::milliseconds(100);
constexpr Duration isolationStep = std::chrono::milliseconds(100);
constexpr std::uint64_t isolationSteps = 4;

//! Copies of one request that wait at several instances begin one after the other as well, so that the first run is known before the next one.
constexpr Duration instanceStep = std::chrono::milliseconds(15);
constexpr std::uint64_t instanceSteps = 16;

//! A record is dropped, and a refused request may run once more, this long after the latest crash.
constexpr Duration recordLifetime = std::chrono::minutes(10);

//! A record that tells only of a complete run is kept this long, for instances that still hold the suspicion.
constexpr Duration clearanceLifetime = std::chrono::seconds(10);

//! A changed record is part of so many reports before it waits for its turn: reports may be lost, and each goes to some of the peers only.
constexpr std::uint32_t reportsOfNews = 4;

//! A report makes a crash appear later by the time it travels, also one that comes back to the instance that saw the crash. A crash that appears
//! later by no more than this is the known one.
constexpr Duration maxTravelTime = std::chrono::seconds(1);

//! Records without news in one report, for instances that started later. Suspects with one crash are left out: each ordinary crash makes some.
constexpr std::size_t recordsInRotation = 4;

//! Bound of the recent completions, as a multiple of that of the records.
constexpr std::size_t completionsPerRecord = 4;

//! Runs at another instance are forgotten when its reports fail to come for this long.
constexpr Duration remoteRunTimeout = std::chrono::seconds(1);

std::uint32_t crashesAfter(const CrashRecord &record, Time completion)
{
    return record.lastCrash > completion + CrashHistory::immunityTime ? record.crashes : 0;
}

} // namespace

CrashHistory::CrashHistory(std::uint64_t instanceSeed, std::size_t maxRecords)
    : instanceSeed(instanceSeed)
    , maxRecords(maxRecords)
{
}

const CrashRecord *CrashHistory::suspicionOf(RequestFingerprint request, Time now) const
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end() || found->second.record.crashes == 0) {
        return nullptr;
    }
    const CrashRecord &record = found->second.record;
    return record.crashes < crashesToRefuse && now >= record.lastCrash + recordLifetime ? nullptr : &record;
}

Time CrashHistory::isolatedTurn(const CrashRecord &record) const
{
    const std::uint64_t instanceTurn = hashOf(std::to_string(record.request), this->instanceSeed);
    return record.lastCrash + isolationDelay + isolationStep * static_cast<Duration::rep>(record.request % isolationSteps)
        + instanceStep * static_cast<Duration::rep>(instanceTurn % instanceSteps);
}

bool CrashHistory::isRunning(RequestFingerprint request, Time now) const
{
    if (this->ownRuns.contains(request)) {
        return true;
    }
    return std::any_of(this->remoteRuns.begin(), this->remoteRuns.end(), [request, now](const auto &remote) {
        return now < remote.second.reportedAt + remoteRunTimeout
            && std::any_of(remote.second.runs.begin(), remote.second.runs.end(), [request](const SuspectRun &run) {
                   return run.request == request;
               });
    });
}

RunAdmission CrashHistory::admit(RequestFingerprint request, Time now) const
{
    const CrashRecord *record = this->suspicionOf(request, now);
    if (record == nullptr) {
        return {};
    }
    RunAdmission admission{RunVerdict::Allowed, record->crashes, now - record->lastCrash};
    const Time allowedAgain = record->lastCrash + recordLifetime;
    if (record->crashes >= crashesToRefuse && now < allowedAgain) {
        admission.verdict = RunVerdict::Refused;
        admission.retryAfter = allowedAgain - now;
    } else if (this->isRunning(request, now)) {
        admission.verdict = RunVerdict::Wait;
    } else if (record->crashes >= crashesToIsolate) {
        admission.verdict = now < this->isolatedTurn(*record) ? RunVerdict::Wait : RunVerdict::AllowedIsolated;
    }
    return admission;
}

void CrashHistory::onStarted(RequestFingerprint request, std::uint32_t endpoint)
{
    this->ownRuns.emplace(request, endpoint);
}

void CrashHistory::removeRun(RequestFingerprint request, std::uint32_t endpoint)
{
    const auto [first, last] = this->ownRuns.equal_range(request);
    const auto run = std::find_if(first, last, [endpoint](const auto &entry) {
        return entry.second == endpoint;
    });
    if (run != last) {
        this->ownRuns.erase(run);
    }
}

Time CrashHistory::latestCompletion(RequestFingerprint request) const
{
    const auto recent = this->recentCompletions.find(request);
    const auto known = this->entries.find(request);
    return std::max(recent == this->recentCompletions.end() ? Time{} : recent->second,
                    known == this->entries.end() ? Time{} : known->second.record.lastCompletion);
}

std::uint32_t CrashHistory::onCrashed(RequestFingerprint request, std::uint32_t endpoint, Time startedAt, Time now)
{
    this->removeRun(request, endpoint);
    if (now <= this->latestCompletion(request) + immunityTime) {
        return 0;
    }
    Entry &entry = this->entryFor(request);
    if (entry.record.crashes == 0 || startedAt >= entry.record.lastCrash) {
        entry.record.crashes += 1;
        entry.record.lastCrash = now;
        entry.newsLeft = reportsOfNews;
    }
    return entry.record.crashes;
}

bool CrashHistory::onCompleted(RequestFingerprint request, std::uint32_t endpoint, Time now)
{
    this->removeRun(request, endpoint);
    if (this->recentCompletions.size() >= this->maxRecords * completionsPerRecord) {
        this->recentCompletions.clear();
    }
    this->recentCompletions[request] = now;
    const auto found = this->entries.find(request);
    if (found == this->entries.end()) {
        return false;
    }
    CrashRecord &record = found->second.record;
    const bool cleared = record.crashes > 0;
    record.lastCompletion = now;
    record.crashes = 0;
    found->second.newsLeft = cleared ? reportsOfNews : found->second.newsLeft;
    return cleared;
}

void CrashHistory::onAbandoned(RequestFingerprint request, std::uint32_t endpoint)
{
    this->removeRun(request, endpoint);
}

void CrashHistory::merge(const CrashRecord &record, Time now)
{
    if (now >= std::max(record.lastCrash, record.lastCompletion) + recordLifetime) {
        return;
    }
    const bool known = this->entries.contains(record.request);
    if (!known && record.crashes == 0) {
        return;
    }
    Entry &entry = this->entryFor(record.request);
    const CrashRecord before = entry.record;
    CrashRecord &merged = entry.record;
    merged.lastCompletion = std::max(this->latestCompletion(record.request), record.lastCompletion);
    const std::uint32_t crashesBefore = crashesAfter(before, merged.lastCompletion);
    const std::uint32_t reportedCrashes = crashesAfter(record, merged.lastCompletion);
    merged.crashes = std::max(crashesBefore, reportedCrashes);
    const bool isLater = reportedCrashes > crashesBefore || record.lastCrash > before.lastCrash + maxTravelTime;
    merged.lastCrash = isLater ? std::max(before.lastCrash, record.lastCrash) : before.lastCrash;
    // The peer learns in turn what it does not know yet.
    if (merged.crashes != before.crashes || merged.crashes != record.crashes) {
        entry.newsLeft = reportsOfNews;
    }
}

void CrashHistory::setRemoteRuns(const InstanceId &instance, const std::vector<SuspectRun> &runs, Time now)
{
    if (runs.empty()) {
        this->remoteRuns.erase(instance);
        return;
    }
    this->remoteRuns[instance] = RemoteRuns{runs, now};
}

std::vector<CrashRecord> CrashHistory::nextReport(std::size_t count)
{
    std::vector<Entry *> news;
    for (auto &[request, entry] : this->entries) {
        if (entry.newsLeft > 0) {
            news.push_back(&entry);
        }
    }
    // The most crashes first: an ordinary crash makes suspects of all that ran at the endpoint, and these must not hold up what refuses a request.
    std::stable_sort(news.begin(), news.end(), [](const Entry *left, const Entry *right) {
        return std::pair(left->record.crashes, left->newsLeft) > std::pair(right->record.crashes, right->newsLeft);
    });
    std::vector<CrashRecord> records;
    for (Entry *entry : news) {
        if (records.size() == count) {
            break;
        }
        entry->newsLeft -= 1;
        records.push_back(entry->record);
    }
    const std::size_t limit = std::min(count, records.size() + recordsInRotation);
    auto next = this->entries.upper_bound(this->lastReported);
    for (std::size_t considered = 0; considered < this->entries.size() && records.size() < limit; ++considered) {
        if (next == this->entries.end()) {
            next = this->entries.begin();
        }
        if (next->second.newsLeft == 0 && next->second.record.crashes >= crashesToIsolate) {
            records.push_back(next->second.record);
        }
        this->lastReported = next->first;
        ++next;
    }
    return records;
}

bool CrashHistory::hasNews() const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [](const auto &entry) {
        return entry.second.newsLeft > 0;
    });
}

std::vector<SuspectRun> CrashHistory::suspectRuns(std::size_t count) const
{
    std::vector<SuspectRun> runs;
    for (const auto &[request, endpoint] : this->ownRuns) {
        const auto entry = this->entries.find(request);
        if (entry != this->entries.end() && entry->second.record.crashes > 0 && runs.size() < count) {
            runs.push_back(SuspectRun{request, endpoint, entry->second.record.crashes >= crashesToIsolate});
        }
    }
    return runs;
}

std::set<std::uint32_t> CrashHistory::isolatedEndpoints(Time now) const
{
    std::set<std::uint32_t> endpoints;
    const auto add = [&endpoints](const std::vector<SuspectRun> &runs) {
        for (const SuspectRun &run : runs) {
            if (run.isolated) {
                endpoints.insert(run.endpoint);
            }
        }
    };
    add(this->suspectRuns(this->ownRuns.size()));
    for (const auto &[instance, remote] : this->remoteRuns) {
        if (now < remote.reportedAt + remoteRunTimeout) {
            add(remote.runs);
        }
    }
    return endpoints;
}

void CrashHistory::expire(Time now)
{
    std::erase_if(this->entries, [now](const auto &item) {
        const CrashRecord &record = item.second.record;
        if (record.crashes == 0) {
            return now >= record.lastCompletion + clearanceLifetime;
        }
        // A condemned request is kept longer than it is refused: should it end another endpoint, it is refused again at once.
        return now >= record.lastCrash + (record.crashes >= crashesToRefuse ? 2 * recordLifetime : recordLifetime);
    });
    std::erase_if(this->recentCompletions, [now](const auto &item) {
        return now > item.second + immunityTime;
    });
    std::erase_if(this->remoteRuns, [now](const auto &item) {
        return now >= item.second.reportedAt + remoteRunTimeout;
    });
}

std::size_t CrashHistory::recordCount() const
{
    return this->entries.size();
}

CrashHistory::Entry &CrashHistory::entryFor(RequestFingerprint request)
{
    const auto found = this->entries.find(request);
    if (found != this->entries.end()) {
        return found->second;
    }
    if (this->entries.size() >= this->maxRecords) {
        const auto leastSuspect = std::min_element(this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) {
            return std::pair(left.second.record.crashes, left.second.record.lastCrash) < std::pair(right.second.record.crashes, right.second.record.lastCrash);
        });
        this->entries.erase(leastSuspect);
    }
    Entry &entry = this->entries[request];
    entry.record.request = request;
    return entry;
}

} // namespace oleandergate
