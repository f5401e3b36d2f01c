#include "runtime/adminapi.h"

#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/connectionbudget.h"
#include "runtime/dispatchservice.h"
#include "runtime/errorresponse.h"
#include "runtime/memorybudget.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/programdocument.h"
#include "runtime/programservice.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *programsRoot = "/admin/programs";

Error refusal(ErrorCode code, Step step, const std::string &detail)
{
    return Error{code, step, {}, Executed::No, std::nullopt, detail};
}

json::array issueList(const ConfigIssues &issues)
{
    json::array list;
    for (const ConfigIssue &issue : issues) {
        list.push_back(json::object{{"file", issue.file}, {"line", issue.line}, {"key", issue.key}, {"found", issue.found}, {"allowed", issue.allowed}});
    }
    return list;
}

HttpResponse invalidConfig(const ConfigIssues &issues)
{
    const Error error = refusal(ErrorCode::InvalidConfiguration, Step::ConfigValidate, describe(issues));
    HttpResponse response = errorResponse(error);
    json::object document = json::parse(response.body).as_object();
    document["issues"] = issueList(issues);
    response.body = json::serialize(document);
    return response;
}

json::object describeVersion(const ConfigVersion &version)
{
    return json::object{{"version", version.version}, {"author", version.author}, {"at", formatTime(version.at)}, {"text", version.text}};
}

} // namespace

AdminApi::AdminApi(const Dependencies &dependencies, std::string bootstrapKeyHash, std::function<void()> drain, std::function<bool()> ready)
    : dependencies(dependencies)
    , bootstrapKeyHash(std::move(bootstrapKeyHash))
    , drain(std::move(drain))
    , ready(std::move(ready))
{
}

std::optional<std::string> AdminApi::authenticate(const HttpRequest &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string field = request.header("Authorization");
    if (!field.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string hash = sha256Hex(field.substr(scheme.size()));
    const std::shared_ptr<const ActiveConfig> active = this->dependencies.config.active();
    if (!active) {
        const bool known = !this->bootstrapKeyHash.empty() && equalsInConstantTime(hash, this->bootstrapKeyHash);
        return known ? std::optional<std::string>("bootstrap") : std::nullopt;
    }
    const OperatorConfig *entry = active->configuration.findOperatorByKeyHash(hash);
    return entry == nullptr ? std::nullopt : std::optional(entry->name);
}

asio::awaitable<void> AdminApi::handle(HttpRequest request, HttpExchange &exchange)
{
    const std::string path = request.path();
    if (path == "/healthz") {
        co_await exchange.respond(makeResponse(200, "text/plain", "live\n"));
        co_return;
    }
    if (path == "/readyz") {
        const bool isReady = this->ready();
        HttpResponse response = isReady ? makeResponse(200, "text/plain", "ready\n") : makeResponse(503, "text/plain", "not ready\n");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path == "/metrics") {
        this->dependencies.metrics.setGauge("oleandergate_live_calls", static_cast<double>(this->dependencies.programs.liveCallCount()));
        this->dependencies.metrics.setGauge("oleandergate_owned_slots", static_cast<double>(this->dependencies.programs.ownedSlots().size()));
        this->dependencies.memory.exportGauges();
        this->dependencies.connections.exportGauges();
        co_await exchange.respond(makeResponse(200, "text/plain; version=0.0.4", this->dependencies.metrics.render()));
        co_return;
    }
    const std::optional<std::string> author = this->authenticate(request);
    if (!author) {
        co_await exchange.respond(
            errorResponse(refusal(ErrorCode::Unauthorised, Step::Authenticate, "the header Authorization must be 'Bearer ' followed by an operator's key")));
        co_return;
    }
    HttpResponse response = co_await this->handleAuthenticated(std::move(request), *author);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> AdminApi::handleAuthenticated(HttpRequest request, std::string author)
{
    const std::string path = request.path();
    const std::string &method = request.method;
    if (path == "/admin/config" && method == "GET") {
        co_return this->showConfig();
    }
    if (path == "/admin/config" && method == "PUT") {
        co_return co_await this->applyConfig(std::move(request), std::move(author));
    }
    if (path == "/admin/config/validate" && method == "POST") {
        co_return this->validateConfig(request);
    }
    if (path == "/admin/config/history" && method == "GET") {
        co_return co_await this->configHistory();
    }
    if (path == "/admin/status" && method == "GET") {
        co_return this->status();
    }
    if (path == programsRoot && method == "GET") {
        co_return co_await this->listPrograms(request.query("own") == "true");
    }
    if (path.starts_with(std::string(programsRoot) + "/")) {
        co_return co_await this->handleProgram(std::move(request));
    }
    if (path == "/admin/drain" && method == "POST") {
        this->drain();
        co_return jsonResponse("{\"draining\":true}", 202);
    }
    co_return errorResponse(refusal(ErrorCode::NotFound, Step::Parse, "the operator API has no such method and path"));
}

HttpResponse AdminApi::showConfig() const
{
    const std::shared_ptr<const ActiveConfig> active = this->dependencies.config.active();
    if (!active) {
        return errorResponse(refusal(ErrorCode::NotFound, Step::ConfigFetch, "no configuration is active"));
    }
    return jsonResponse(json::serialize(describeVersion(active->version)));
}

HttpResponse AdminApi::validateConfig(const HttpRequest &request) const
{
    ConfigIssues issues;
    const bool valid = parseConfiguration(request.body, "configuration", issues).has_value();
    return jsonResponse(json::serialize(json::object{{"valid", valid}, {"issues", issueList(issues)}}));
}

asio::awaitable<HttpResponse> AdminApi::applyConfig(HttpRequest request, std::string author)
{
    ConfigIssues issues;
    if (!parseConfiguration(request.body, "configuration", issues)) {
        co_return invalidConfig(issues);
    }
    const std::uint64_t expected = std::strtoull(request.header("If-Match").c_str(), nullptr, 10);
    const Result<ConfigVersion> applied = co_await this->dependencies.config.apply(std::move(request.body), std::move(author), expected, currentTime());
    if (!applied) {
        co_return errorResponse(applied.error());
    }
    co_return jsonResponse("{\"version\":" + std::to_string(applied.value().version) + "}");
}

asio::awaitable<HttpResponse> AdminApi::configHistory()
{
    Result<std::vector<ConfigVersion>> versions = co_await this->dependencies.config.history();
    if (!versions) {
        co_return errorResponse(versions.error());
    }
    json::array list;
    for (const ConfigVersion &version : versions.value()) {
        list.push_back(describeVersion(version));
    }
    co_return jsonResponse(json::serialize(list));
}

HttpResponse AdminApi::status() const
{
    const Time now = currentTime();
    json::array instances;
    for (const InstanceRecord &instance : this->dependencies.view.instances()) {
        std::size_t owned = 0;
        for (SlotId slot = 0; slot < this->dependencies.view.slotCount(); ++slot) {
            owned += this->dependencies.view.recordOf(slot).owner == instance.id ? 1 : 0;
        }
        instances.push_back(
            json::object{{"id", instance.id}, {"domain", instance.domain}, {"peer", instance.peerAddress}, {"leaving", instance.leaving}, {"slots", owned}});
    }
    const std::shared_ptr<const ActiveConfig> active = this->dependencies.config.active();
    const json::object status{
        {"instance", this->dependencies.view.self()},
        {"posture", nameIn(operatingModeNames, this->dependencies.view.operatingMode(now))},
        {"config_version", active ? active->version.version : 0},
        {"live_calls", this->dependencies.programs.liveCallCount()},
        {"owned_slots", this->dependencies.programs.ownedSlots().size()},
        {"peak_cap", this->dependencies.dispatch.peakCap()},
        {"peak_granted", this->dependencies.dispatch.peakGranted(now)},
        {"peak_used", this->dependencies.dispatch.peakUsed(now)},
        {"instances", instances},
        {"pools", json::parse(this->dependencies.dispatch.describePools())},
    };
    return jsonResponse(json::serialize(status));
}

asio::awaitable<HttpResponse> AdminApi::listPrograms(bool ownOnly)
{
    json::array all;
    json::array missing;
    const StatusQuery query;
    for (const InstanceRecord &instance : this->dependencies.view.instances()) {
        TextReply reply;
        if (instance.id == this->dependencies.view.self()) {
            const PeerMessage own = co_await this->dependencies.router.serve(query, nullptr);
            reply = std::get<TextReply>(own);
        } else if (ownOnly) {
            continue;
        } else {
            const Result<PeerMessage> answer = co_await this->dependencies.peers.send(instance.peerAddress, query);
            if (const auto *text = answer ? std::get_if<TextReply>(&answer.value()) : nullptr) {
                reply = *text;
            }
        }
        if (!reply.succeeded) {
            missing.push_back(json::string(instance.id));
            continue;
        }
        const json::value list = json::parse(reply.text);
        all.insert(all.end(), list.get_array().begin(), list.get_array().end());
    }
    json::object document;
    document["programs"] = std::move(all);
    document["unreachable"] = std::move(missing);
    co_return jsonResponse(json::serialize(document));
}

asio::awaitable<HttpResponse> AdminApi::handleProgram(HttpRequest request)
{
    const std::string rest = request.path().substr(std::string(programsRoot).size() + 1);
    const std::size_t slash = rest.find('/');
    const ProgramId program = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    StatusQuery query;
    query.program = program;
    query.withHistory = action == "history";
    Result<std::string> state = co_await this->dependencies.router.status(std::move(query));
    if (!state) {
        co_return errorResponse(state.error());
    }
    if (action != "cancel" || request.method != "POST") {
        co_return jsonResponse(state.value());
    }
    const json::value document = json::parse(state.value());
    const OrganisationId organisation(document.at("organisation").as_string());
    EndCommand command;
    command.program = program;
    command.organisation = organisation;
    command.phase = ProgramPhase::Cancelled;
    const Result<CallAnswer> ended = co_await this->dependencies.router.end(std::move(command));
    if (!ended) {
        co_return errorResponse(ended.error());
    }
    co_return jsonResponse("{}");
}

} // namespace oleandergate
