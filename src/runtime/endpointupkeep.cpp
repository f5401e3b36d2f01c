#include "backing/interfaces/instancelist.h"
#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/dispatchservice.h"
#include "runtime/eventlog.h"
#include "runtime/httpclient.h"
#include "runtime/jsonaccess.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/programservice.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration listStep = std::chrono::milliseconds(500);
constexpr Duration loadStep = std::chrono::milliseconds(500);
constexpr Duration sweepStep = std::chrono::seconds(1);
//! A service is asked for the outcome of a request this often after a takeover.
constexpr int outcomeTries = 20;
constexpr Duration outcomeStep = std::chrono::milliseconds(500);
constexpr Duration upkeepTimeout = std::chrono::seconds(1);

HttpCall upkeepCall(const std::string &address, const std::string &target)
{
    HttpCall call;
    call.address = address;
    call.target = target;
    call.connectTimeout = upkeepTimeout;
    call.idleTimeout = upkeepTimeout;
    return call;
}

std::string releaseBody(const ProgramId &program)
{
    return json::serialize(json::object{{"cache_salt", program}});
}

json::object parseObject(const HttpOutcome &outcome)
{
    if (!outcome || outcome.value().status != 200) {
        return {};
    }
    return parseJsonObject(outcome.value().body);
}

} // namespace

asio::awaitable<void> DispatchService::refreshEndpoints()
{
    while (true) {
        for (const DispatchPoolPointer &pool : this->allPools()) {
            Result<std::vector<EndpointSpec>> listed = co_await this->parts.list.instancesOf(pool->listName);
            if (!listed) {
                // While the list is down, the endpoints known last stay in use.
                this->parts.metrics.count("oleandergate_instance_list_failures_total");
                continue;
            }
            const std::lock_guard lock(pool->mutex);
            for (EndpointSpec &endpoint : listed.value()) {
                endpoint.slots = pool->pool ? pool->pool->slotsPerEndpoint : endpoint.slots;
            }
            if (listed.value() != pool->endpoints) {
                pool->endpoints = listed.value();
                pool->dispatcher.setEndpoints(pool->endpoints);
            }
        }
        for (const DispatchPoolPointer &pool : this->allPools()) {
            this->pump(pool);
        }
        co_await sleepFor(listStep);
    }
}

asio::awaitable<void> DispatchService::refreshLoads()
{
    while (true) {
        co_await sleepFor(loadStep);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            {
                const std::lock_guard lock(pool->mutex);
                // An idle instance needs no reports; the first call it places goes by what it knew last.
                const bool busy = pool->dispatcher.runningCount() + pool->dispatcher.waitingCount() > 0;
                endpoints = pool->pool && busy ? pool->endpoints : endpoints;
            }
            for (const EndpointSpec &endpoint : endpoints) {
                const HttpOutcome outcome = co_await this->parts.client.send(upkeepCall(endpoint.address, "/load"), Step::Place);
                const json::object report = parseObject(outcome);
                const json::value *load = report.if_contains("server_load");
                if (load != nullptr && load->is_int64()) {
                    const Time now = currentTime();
                    const std::lock_guard lock(pool->mutex);
                    pool->dispatcher.onLoadReport(endpoint.id, static_cast<std::uint32_t>(std::max<std::int64_t>(0, load->get_int64())), now, now);
                }
            }
        }
    }
}

void DispatchService::onQueryOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service)
{
    asio::co_spawn(asio::make_strand(this->context), this->askOutcome(program, requestId, service), asio::detached);
}

asio::awaitable<void> DispatchService::askOutcome(ProgramId program, RequestId requestId, std::string service)
{
    for (int tried = 0; tried < outcomeTries; ++tried) {
        co_await sleepFor(outcomeStep);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            std::string path;
            {
                const std::lock_guard lock(pool->mutex);
                const bool wanted = pool->service && pool->service->name == service && !pool->service->outcomePath.empty();
                endpoints = wanted ? pool->endpoints : endpoints;
                path = wanted ? pool->service->outcomePath : path;
            }
            for (const EndpointSpec &endpoint : endpoints) {
                const HttpOutcome outcome = co_await this->parts.client.send(upkeepCall(endpoint.address, path + requestId), Step::SlotRecover);
                if (outcome && outcome.value().status == 200) {
                    CallAnswer answer{200, outcome.value().contentType, outcome.value().body, endpoint.id};
                    this->parts.programs.onOutcomeFound(program, requestId, std::move(answer));
                    co_return;
                }
            }
        }
    }
}

void DispatchService::onReleaseCache(const ProgramId &program, const std::set<EndpointId> &endpoints)
{
    std::vector<std::string> addresses;
    for (const DispatchPoolPointer &pool : this->allPools()) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.forgetProgram(program);
        for (const EndpointSpec &endpoint : pool->endpoints) {
            if (pool->pool && endpoints.contains(endpoint.id)) {
                addresses.push_back(endpoint.address);
            }
        }
    }
    this->parts.events.record(Step::CacheRelease, program, {}, std::to_string(addresses.size()) + " endpoints");
    for (const std::string &address : addresses) {
        asio::co_spawn(asio::make_strand(this->context), this->release(address, {program}), asio::detached);
    }
}

asio::awaitable<void> DispatchService::release(std::string address, std::vector<ProgramId> programs)
{
    for (const ProgramId &program : programs) {
        HttpCall call = upkeepCall(address, "/v1/cache/release");
        call.method = "POST";
        call.body = releaseBody(program);
        const HttpOutcome outcome = co_await this->parts.client.send(std::move(call), Step::CacheRelease);
        this->parts.metrics.count("oleandergate_cache_releases_total", outcome ? "result=\"done\"" : "result=\"failed\"");
    }
}

asio::awaitable<void> DispatchService::sweepCaches()
{
    // Each engine is swept by one instance, so that a release whose owner died is made up for.
    while (true) {
        co_await sleepFor(sweepStep);
        const std::vector<InstanceRecord> instances = this->parts.view.instances();
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            {
                const std::lock_guard lock(pool->mutex);
                endpoints = pool->pool ? pool->endpoints : endpoints;
            }
            for (const EndpointSpec &endpoint : endpoints) {
                InstanceId sweeper;
                std::uint64_t best = 0;
                for (const InstanceRecord &instance : instances) {
                    const std::uint64_t weight = hashOf(endpoint.id, hashOf(instance.id));
                    if (weight >= best) {
                        best = weight;
                        sweeper = instance.id;
                    }
                }
                if (sweeper == this->parts.view.self()) {
                    co_await this->sweepEndpoint(endpoint);
                }
            }
        }
    }
}

asio::awaitable<void> DispatchService::sweepEndpoint(EndpointSpec endpoint)
{
    const HttpOutcome outcome = co_await this->parts.client.send(upkeepCall(endpoint.address, "/v1/cache/holders"), Step::CacheRelease);
    const json::object report = parseObject(outcome);
    const json::value *salts = report.if_contains("cache_salts");
    if (salts == nullptr || !salts->is_array()) {
        co_return;
    }
    std::vector<ProgramId> holders;
    for (const json::value &salt : salts->get_array()) {
        if (salt.is_string()) {
            holders.emplace_back(salt.get_string());
        }
    }
    std::vector<ProgramId> gone = co_await this->goneAmong(std::move(holders));
    co_await this->release(endpoint.address, std::move(gone));
}

asio::awaitable<std::vector<ProgramId>> DispatchService::goneAmong(std::vector<ProgramId> programs)
{
    std::map<std::string, GoneQuery> queries;
    std::vector<ProgramId> own;
    for (const ProgramId &program : programs) {
        const std::optional<InstanceRecord> owner = this->parts.view.ownerOf(slotOf(program, this->parts.view.slotCount()));
        if (!owner) {
            continue;
        }
        if (owner->id == this->parts.view.self()) {
            own.push_back(program);
        } else {
            queries[owner->peerAddress].programs.push_back(program);
        }
    }
    std::vector<ProgramId> gone = this->parts.programs.goneOf(own);
    for (auto &[address, query] : queries) {
        Result<PeerMessage> reply = co_await this->parts.peers.send(address, std::move(query));
        if (const auto *answer = reply ? std::get_if<GoneReply>(&reply.value()) : nullptr) {
            gone.insert(gone.end(), answer->programs.begin(), answer->programs.end());
        }
    }
    co_return gone;
}

} // namespace oleandergate
