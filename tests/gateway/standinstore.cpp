#include "standinstore.h"

#include "backing/base64.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/errorresponse.h"
#include "runtime/jsonaccess.h"
#include "support/querytext.h"
#include "support/testcluster.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <optional>
#include <stdexcept>

namespace oleandergate::support {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration watchPollInterval = std::chrono::milliseconds(5);
constexpr Duration leasePollInterval = std::chrono::milliseconds(20);
constexpr std::string_view renewalPath = "/kv-keep/";
constexpr Duration longestLease = std::chrono::minutes(10);

//! How long after the copy of a former answer the answer itself follows: its caller has read the copy by then.
constexpr Duration delayBehindCopy = std::chrono::milliseconds(100);

json::object itemOf(const std::string &key, std::string value, std::uint64_t revision, const std::map<std::string, std::string> &replaced)
{
    for (const auto &[text, shown] : replaced) {
        boost::algorithm::replace_all(value, text, shown);
    }
    return json::object{{"Key", key}, {"Value", toBase64(value)}, {"Revision", revision}, {"CreateRevision", revision}, {"Lease", 0}};
}

void setMember(std::set<std::string> &members, const std::string &member, bool isMember)
{
    if (isMember) {
        members.insert(member);
    } else {
        members.erase(member);
    }
}

} // namespace

StandinStore::StandinStore()
    : listenAddress(unusedAddress())
    , server(this->serve(listenAddress, unchanged))
{
    asio::co_spawn(this->context, this->expireLoop(), asio::detached);
    this->thread = std::thread([this]() {
        const auto work = asio::make_work_guard(this->context);
        this->context.run();
    });
}

std::unique_ptr<HttpServer> StandinStore::serve(const std::string &servedAddress, const View &view)
{
    auto made = std::make_unique<HttpServer>(
        this->context,
        HttpLimits(),
        [this, &view](HttpRequest request, HttpExchange &exchange) {
            return this->handle(std::move(request), exchange, view);
        },
        unreadableRequestResponse);
    const Result<void> started = made->start(servedAddress);
    if (!started) {
        throw std::runtime_error("the stand-in store cannot listen at " + servedAddress);
    }
    return made;
}

std::string StandinStore::addView(const std::map<std::string, std::string> &replaced)
{
    std::string viewAddress = unusedAddress();
    ViewServer &added = this->views.emplace_back(ViewServer{View{viewAddress, replaced}, nullptr});
    added.server = this->serve(viewAddress, added.view);
    return viewAddress;
}

StandinStore::~StandinStore()
{
    this->context.stop();
    this->thread.join();
}

const std::string &StandinStore::address() const
{
    return this->listenAddress;
}

asio::awaitable<void> StandinStore::expireLoop()
{
    while (true) {
        co_await sleepFor(leasePollInterval);
        this->expireLeases(currentTime());
    }
}

void StandinStore::expireLeases(Time now)
{
    const std::lock_guard lock(this->mutex);
    const std::size_t ended = std::erase_if(this->leases, [now](const auto &entry) {
        return now >= entry.second.endsAt;
    });
    if (ended == 0) {
        return;
    }
    std::vector<std::string> lapsed;
    for (const auto &[key, item] : this->items) {
        if (item.lease != 0 && !this->leases.contains(item.lease)) {
            lapsed.push_back(key);
        }
    }
    this->revision += lapsed.empty() ? 0 : 1;
    for (const std::string &key : lapsed) {
        this->write(key, {}, true);
    }
}

HttpResponse StandinStore::grantLease(const json::object &body, Time now)
{
    const std::lock_guard lock(this->mutex);
    const Duration lifetime = std::min<Duration>(std::chrono::milliseconds(jsonNumber(body, "TtlMs")), longestLease);
    const std::uint64_t id = ++this->leasesGranted;
    this->leases[id] = Lease{lifetime, now + lifetime};
    return jsonResponse(json::serialize(json::object{{"Lease", id}, {"TtlMs", std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count()}}));
}

HttpResponse StandinStore::renewLease(const std::string &id, Time now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(std::stoull(id));
    if (found == this->leases.end()) {
        return jsonResponse("{}", 404);
    }
    found->second.endsAt = now + found->second.lifetime;
    return jsonResponse("{}");
}

void StandinStore::write(const std::string &key, const std::string &value, bool removed, std::uint64_t lease)
{
    if (removed) {
        this->items.erase(key);
    } else {
        this->items[key] = Item{value, this->revision, lease};
    }
    this->changes.push_back(Change{key, value, this->revision, removed});
}

void StandinStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->write(key, value, false);
}

void StandinStore::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->write(key, {}, true);
}

void StandinStore::endAllLeases()
{
    {
        const std::lock_guard lock(this->mutex);
        for (auto &[id, lease] : this->leases) {
            lease.endsAt = Time{};
        }
    }
    this->expireLeases(currentTime());
}

void StandinStore::endLeases(const std::string &part)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> ended;
    for (const auto &[key, item] : this->items) {
        if (key.find(part) != std::string::npos) {
            ended.push_back(key);
        }
    }
    for (const std::string &key : ended) {
        this->revision += 1;
        this->write(key, {}, true);
    }
}

std::string StandinStore::value(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::string() : found->second.value;
}

void StandinStore::setRefusing(bool newRefusing)
{
    this->refusing = newRefusing;
}

void StandinStore::setRefusingWrites(bool newRefusing)
{
    this->refusingWrites = newRefusing;
}

void StandinStore::setRefusingAt(const std::string &servedAddress, bool newRefusing)
{
    const std::lock_guard lock(this->mutex);
    setMember(this->refusingAddresses, servedAddress, newRefusing);
}

void StandinStore::setWatchesSilentAt(const std::string &servedAddress, bool newWatchesSilent)
{
    const std::lock_guard lock(this->mutex);
    setMember(this->silentAddresses, servedAddress, newWatchesSilent);
}

bool StandinStore::refuses(const View &view) const
{
    return this->refusing || this->refusingAddresses.contains(view.address);
}

void StandinStore::setWatchesSilent(bool newWatchesSilent)
{
    this->watchesSilent = newWatchesSilent;
}

void StandinStore::setSilentPrefix(const std::string &prefix)
{
    const std::lock_guard lock(this->mutex);
    this->silentPrefix = prefix;
}

void StandinStore::setLosingWriteAnswers(bool newLosingWriteAnswers)
{
    this->losingWriteAnswers = newLosingWriteAnswers;
}

void StandinStore::setLongestDelay(Duration longest)
{
    this->longestDelay = longest;
}

void StandinStore::setRepeating(bool newRepeating, bool newLosing)
{
    this->losing = newLosing;
    this->repeating = newRepeating;
}

asio::awaitable<bool> StandinStore::repeatFormer(const std::string &peer, HttpExchange &exchange)
{
    std::optional<HttpResponse> former;
    {
        const std::lock_guard lock(this->mutex);
        if (const auto found = this->formerAnswers.find(peer); found != this->formerAnswers.end()) {
            former = found->second;
        }
    }
    if (former && this->repeating) {
        co_await exchange.respond(std::move(*former));
        co_await sleepFor(delayBehindCopy);
        co_return true;
    }
    co_return false;
}

void StandinStore::setPageLimits(PageLimits limits)
{
    const std::lock_guard lock(this->mutex);
    this->pageLimits = limits;
}

void StandinStore::setRepeatingPagesAt(const std::string &servedAddress, bool newRepeatingPages)
{
    const std::lock_guard lock(this->mutex);
    setMember(this->repeatingPagesAddresses, servedAddress, newRepeatingPages);
}

void StandinStore::setWatchesHasty(bool newWatchesHasty)
{
    this->watchesHasty = newWatchesHasty;
}

void StandinStore::discardHistory()
{
    ++this->historyDiscards;
}

std::size_t StandinStore::pagesRepeated() const
{
    return this->repeatedPages;
}

std::size_t StandinStore::watchesAsked() const
{
    return this->askedWatches;
}

HttpResponse StandinStore::range(const HttpRequest &request, const View &view)
{
    const std::lock_guard lock(this->mutex);
    const std::string prefix = queryText(request.target, "PathPrefix");
    std::string after = queryText(request.target, "after");
    if (!after.empty() && this->repeatingPagesAddresses.contains(view.address)) {
        after.clear();
        ++this->repeatedPages;
    }
    json::array found;
    std::size_t bytes = 0;
    bool isTruncated = false;
    for (auto item = after.empty() ? this->items.lower_bound(prefix) : this->items.upper_bound(after); item != this->items.end(); ++item) {
        const auto &[key, stored] = *item;
        if (!key.starts_with(prefix)) {
            continue;
        }
        bytes += key.size() + stored.value.size();
        isTruncated = !found.empty() && (found.size() >= this->pageLimits.items || bytes > this->pageLimits.bytes);
        if (isTruncated) {
            break;
        }
        found.push_back(itemOf(key, stored.value, stored.revision, view.replaced));
    }
    return jsonResponse(json::serialize(json::object{{"items", found}, {"Truncated", isTruncated}, {"CurrentRev", this->revision}}));
}

asio::awaitable<HttpResponse> StandinStore::watch(const HttpRequest &request, const View &view)
{
    const std::string prefix = queryText(request.target, "PathPrefix");
    std::uint64_t after = std::stoull(queryText(request.target, "after"));
    {
        const std::lock_guard lock(this->mutex);
        if (this->repeatingPagesAddresses.contains(view.address)) {
            after = 0;
        }
    }
    const Time until = currentTime() + std::chrono::milliseconds(std::stoll(queryText(request.target, "WaitMs")));
    const std::size_t discardsBefore = this->historyDiscards;
    ++this->askedWatches;
    bool isEnded = false;
    while (!isEnded) {
        {
            const std::lock_guard lock(this->mutex);
            json::array events;
            const bool isSilent = this->watchesSilent || this->silentAddresses.contains(view.address) || this->refusingAddresses.contains(view.address)
                || (!this->silentPrefix.empty() && prefix.starts_with(this->silentPrefix));
            for (const Change &change : this->changes) {
                if (isSilent || change.revision <= after || !change.key.starts_with(prefix)) {
                    continue;
                }
                json::object event = itemOf(change.key, change.value, change.revision, view.replaced);
                if (change.removed) {
                    event = json::object{{"Key", change.key}, {"Revision", change.revision}, {"Tombstone", true}};
                }
                events.push_back(event);
            }
            if (!events.empty()) {
                HttpResponse response = jsonResponse(json::serialize(json::object{{"events", events}, {"CurrentRev", this->revision}}));
                co_return response;
            }
        }
        if (this->historyDiscards != discardsBefore) {
            HttpResponse response = jsonResponse("{}", 410);
            co_return response;
        }
        isEnded = this->watchesHasty || currentTime() >= until;
        if (!isEnded) {
            co_await sleepFor(watchPollInterval);
        }
    }
    HttpResponse response = jsonResponse(json::serialize(json::object{{"events", json::array()}, {"CurrentRev", after}}));
    co_return response;
}

HttpResponse StandinStore::transact(const json::object &body, const View &view)
{
    const std::lock_guard lock(this->mutex);
    json::array current;
    bool holds = true;
    for (const json::value &row : body.at("ExpectedRev").as_array()) {
        const std::string key(row.at("Key").as_string());
        const auto found = this->items.find(key);
        const std::uint64_t actual = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && actual == static_cast<std::uint64_t>(jsonNumber(row.as_object(), "Revision"));
        if (found != this->items.end()) {
            current.push_back(itemOf(key, found->second.value, actual, view.replaced));
        }
    }
    if (!holds) {
        return jsonResponse(json::serialize(json::object{{"items", current}}), 412);
    }
    for (const json::value &row : body.at("SetKeys").as_array()) {
        const auto lease = static_cast<std::uint64_t>(jsonNumber(row.as_object(), "Lease"));
        if (lease != 0 && !this->leases.contains(lease)) {
            return jsonResponse("{}", 404);
        }
    }
    this->revision += 1;
    for (const json::value &row : body.at("SetKeys").as_array()) {
        const auto lease = static_cast<std::uint64_t>(jsonNumber(row.as_object(), "Lease"));
        this->write(std::string(row.at("Key").as_string()), fromBase64(std::string(row.at("Value").as_string())), false, lease);
    }
    for (const json::value &key : body.at("DeleteKeys").as_array()) {
        this->write(std::string(key.as_string()), {}, true);
    }
    return jsonResponse(json::serialize(json::object{{"Revision", this->revision}}));
}

asio::awaitable<void> StandinStore::handle(HttpRequest request, HttpExchange &exchange, const View &view)
{
    HttpResponse response = jsonResponse("{}", 404);
    const std::string path = request.path();
    const bool isRepeated = co_await this->repeatFormer(request.peer, exchange);
    if (isRepeated && this->losing) {
        exchange.closeAfterResponse();
        co_return;
    }
    const bool isWrite = path == "/kv-txn" || path == "/kv-lease";
    bool isRefused = false;
    {
        const std::lock_guard lock(this->mutex);
        isRefused = this->refuses(view) || (this->refusingWrites && isWrite);
    }
    if (isRefused) {
        response = jsonResponse("{}", 503);
    } else if (path == "/kv-range") {
        response = this->range(request, view);
    } else if (path == "/kv-watch") {
        response = co_await this->watch(request, view);
    } else if (path == "/kv-txn") {
        response = this->transact(parseJsonObject(request.body), view);
    } else if (path == "/kv-lease") {
        response = this->grantLease(parseJsonObject(request.body), currentTime());
    } else if (path.starts_with(renewalPath)) {
        response = this->renewLease(path.substr(renewalPath.size()), currentTime());
    }
    const Duration longest = this->longestDelay;
    if (longest > Duration::zero()) {
        std::uniform_int_distribution<Duration::rep> delay(0, longest.count());
        co_await sleepFor(Duration(delay(this->random)));
    }
    if (isWrite && this->losingWriteAnswers) {
        exchange.abandon();
        co_return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->formerAnswers[request.peer] = response;
    }
    co_await exchange.respond(std::move(response));
}

} // namespace oleandergate::support
