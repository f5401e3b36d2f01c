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

constexpr int statusOk = 200;
constexpr Duration endpointListInterval = std::chrono::milliseconds(500);
constexpr Duration loadReportInterval = std::chrono::milliseconds(500);
constexpr Duration cacheSweepInterval = std::chrono::seconds(1);

//! How many times a service is queried for the outcome of a request after its program got a new owner.
constexpr int maxOutcomeQueries = 20;
constexpr Duration outcomeQueryInterval = std::chrono::milliseconds(500);
constexpr Duration maintenanceTimeout = std::chrono::seconds(1);

HttpCall maintenanceCall(const std::string &address, const std::string &target)
{
    HttpCall call;
    call.address = address;
    call.target = target;
    call.connectTimeout = maintenanceTimeout;
    call.idleTimeout = maintenanceTimeout;
    return call;
}

std::string releaseBody(const ProgramId &program)
{
    return json::serialize(json::object{{"cache_salt", program}});
}

json::object parseObject(const HttpOutcome &outcome)
{
    if (!outcome || outcome.value().status != statusOk) {
        return {};
    }
    return parseJsonObject(outcome.value().body);
}

} // namespace

asio::awaitable<void> DispatchService::refreshEndpoints()
{
    while (true) {
        for (const DispatchPoolPointer &pool : this->allPools()) {
            Result<std::vector<EndpointSpec>> listed = co_await this->dependencies.list.instancesOf(pool->listName);
            if (!listed) {
                // While the instance list is unavailable, the last known endpoints stay in use.
                this->dependencies.metrics.count("oleandergate_instance_list_failures_total");
                continue;
            }
            const std::lock_guard lock(pool->mutex);
            for (EndpointSpec &endpoint : listed.value()) {
                endpoint.slots = pool->modelConfig ? pool->modelConfig->slotsPerEndpoint : endpoint.slots;
            }
            if (listed.value() != pool->endpoints) {
                pool->endpoints = listed.value();
                pool->dispatcher.setEndpoints(pool->endpoints);
            }
        }
        for (const DispatchPoolPointer &pool : this->allPools()) {
            this->placeWaitingCalls(pool);
        }
        co_await sleepFor(endpointListInterval);
    }
}

asio::awaitable<void> DispatchService::refreshLoads()
{
    while (true) {
        co_await sleepFor(loadReportInterval);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            {
                const std::lock_guard lock(pool->mutex);
                // Load reports are not needed while no call is waiting or running; the next call is placed by the last known loads.
                const bool busy = pool->dispatcher.runningCount() + pool->dispatcher.waitingCount() > 0;
                endpoints = pool->modelConfig && busy ? pool->endpoints : endpoints;
            }
            for (const EndpointSpec &endpoint : endpoints) {
                const HttpOutcome outcome = co_await this->dependencies.client.send(maintenanceCall(endpoint.address, "/load"), Step::Place);
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
    asio::co_spawn(asio::make_strand(this->context), this->queryOutcome(program, requestId, service), asio::detached);
}

asio::awaitable<void> DispatchService::queryOutcome(ProgramId program, RequestId requestId, std::string service)
{
    for (int attempt = 0; attempt < maxOutcomeQueries; ++attempt) {
        co_await sleepFor(outcomeQueryInterval);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            std::string path;
            {
                const std::lock_guard lock(pool->mutex);
                const bool matches = pool->serviceConfig && pool->serviceConfig->name == service && !pool->serviceConfig->outcomePath.empty();
                endpoints = matches ? pool->endpoints : endpoints;
                path = matches ? pool->serviceConfig->outcomePath : path;
            }
            for (const EndpointSpec &endpoint : endpoints) {
                HttpCall call = maintenanceCall(endpoint.address, path + requestId);
                // The answer names no request: on a connection that was used before it may be the copy of another outcome.
                call.reuse = false;
                const HttpOutcome outcome = co_await this->dependencies.client.send(std::move(call), Step::SlotRecover);
                if (outcome && outcome.value().status == statusOk) {
                    CallAnswer answer{statusOk, outcome.value().contentType, outcome.value().body, endpoint.id};
                    this->dependencies.programs.onOutcomeFound(program, requestId, std::move(answer));
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
            if (pool->modelConfig && endpoints.contains(endpoint.id)) {
                addresses.push_back(endpoint.address);
            }
        }
    }
    this->dependencies.events.record(Step::CacheRelease, program, {}, std::to_string(addresses.size()) + " endpoints");
    for (const std::string &address : addresses) {
        asio::co_spawn(asio::make_strand(this->context), this->releaseCaches(address, {program}), asio::detached);
    }
}

asio::awaitable<void> DispatchService::releaseCaches(std::string address, std::vector<ProgramId> programs)
{
    for (const ProgramId &program : programs) {
        HttpCall call = maintenanceCall(address, "/v1/cache/release");
        call.method = "POST";
        call.body = releaseBody(program);
        const HttpOutcome outcome = co_await this->dependencies.client.send(std::move(call), Step::CacheRelease);
        this->dependencies.metrics.count("oleandergate_cache_releases_total", outcome ? "result=\"done\"" : "result=\"failed\"");
    }
}

asio::awaitable<void> DispatchService::sweepCaches()
{
    // The owner of a program may stop before it has released the program's caches. Therefore one instance per engine, chosen by
    // rendezvous hashing, also releases the caches of programs that are gone.
    while (true) {
        co_await sleepFor(cacheSweepInterval);
        const std::vector<InstanceRecord> instances = this->dependencies.view.instances();
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<EndpointSpec> endpoints;
            {
                const std::lock_guard lock(pool->mutex);
                endpoints = pool->modelConfig ? pool->endpoints : endpoints;
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
                if (sweeper == this->dependencies.view.self()) {
                    co_await this->sweepEndpoint(endpoint);
                }
            }
        }
    }
}

asio::awaitable<void> DispatchService::sweepEndpoint(EndpointSpec endpoint)
{
    const HttpOutcome outcome = co_await this->dependencies.client.send(maintenanceCall(endpoint.address, "/v1/cache/holders"), Step::CacheRelease);
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
    std::vector<ProgramId> gone = co_await this->queryGonePrograms(std::move(holders));
    co_await this->releaseCaches(endpoint.address, std::move(gone));
}

asio::awaitable<std::vector<ProgramId>> DispatchService::queryGonePrograms(std::vector<ProgramId> programs)
{
    std::map<std::string, GoneQuery> queries;
    std::vector<ProgramId> own;
    for (const ProgramId &program : programs) {
        const std::optional<InstanceRecord> owner = this->dependencies.view.ownerOf(slotOf(program, this->dependencies.view.slotCount()));
        if (!owner) {
            continue;
        }
        if (owner->id == this->dependencies.view.self()) {
            own.push_back(program);
        } else {
            queries[owner->peerAddress].programs.push_back(program);
        }
    }
    std::vector<ProgramId> gone = this->dependencies.programs.filterGonePrograms(own);
    for (auto &[address, query] : queries) {
        Result<PeerMessage> reply = co_await this->dependencies.peers.send(address, std::move(query));
        if (const auto *answer = reply ? std::get_if<GoneReply>(&reply.value()) : nullptr) {
            gone.insert(gone.end(), answer->programs.begin(), answer->programs.end());
        }
    }
    co_return gone;
}

} // namespace oleandergate
