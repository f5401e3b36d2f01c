#include "runtime/callerapi.h"

#include "decision/hash.h"
#include "runtime/chatdocument.h"
#include "runtime/clock.h"
#include "runtime/errorresponse.h"
#include "runtime/eventlog.h"
#include "runtime/metrics.h"
#include "runtime/programdocument.h"
#include "wire/messageauth.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxNameLength = 200;
constexpr std::size_t randomIdBytes = 12;
constexpr MicroUnits tokensPerPriceUnit = 1000;
constexpr const char *servicesRoot = "/v1/services/";
constexpr const char *programsRoot = "/v1/programs";

Error refusal(ErrorCode code, Step step, const std::string &detail)
{
    return Error{code, step, {}, Executed::No, std::nullopt, detail};
}

//! Returns \p prefix followed by 24 random hexadecimal digits.
std::string randomId(const std::string &prefix)
{
    return prefix + sha256Hex(MessageAuth::randomBytes(2 * randomIdBytes)).substr(0, 2 * randomIdBytes);
}

bool isName(const std::string &text)
{
    constexpr const char *allowedCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
    // Names become segments of paths, where those of dots alone mean other ones.
    const bool hasOnlyDots = text.find_first_not_of('.') == std::string::npos;
    return !hasOnlyDots && text.size() <= maxNameLength && text.find_first_not_of(allowedCharacters) == std::string::npos;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), number);
    return parseError == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

HttpResponse modelList(const Configuration &configuration)
{
    json::array models;
    for (const PoolConfig &pool : configuration.pools) {
        for (const std::string &model : pool.models) {
            models.push_back(json::object{{"id", model}, {"object", "model"}, {"owned_by", pool.name}});
        }
    }
    return jsonResponse(json::serialize(json::object{{"object", "list"}, {"data", models}}));
}

HttpResponse createdResponse(const ProgramSpec &spec, bool existed)
{
    const json::object document{{"id", spec.id}, {"kind", spec.kind}, {"budget", formatMoney(spec.budget)}, {"deadline", formatTime(spec.deadline)}};
    constexpr int created = 201;
    constexpr int ok = 200;
    return jsonResponse(json::serialize(document), existed ? ok : created);
}

HttpResponse answerResponse(const CallAnswer &answer, const std::string &requestId)
{
    HttpResponse response;
    response.status = answer.status;
    response.contentType = answer.contentType.empty() ? "application/json" : answer.contentType;
    response.body = answer.body;
    response.headers.push_back(HttpHeader{"Request-Id", requestId});
    if (answer.replayed) {
        response.headers.push_back(HttpHeader{"Idempotency-Replayed", "true"});
    }
    if (answer.historyPending) {
        response.headers.push_back(HttpHeader{"History", "pending"});
    }
    return response;
}

} // namespace

CallerApi::CallerApi(CallRouter &router, ConfigService &config, EventLog &events, Metrics &metrics)
    : router(router)
    , config(config)
    , events(events)
    , requests(metrics.counter("oleandergate_requests_total"))
    , callSeconds(metrics.histogram("oleandergate_call_seconds"))
{
}

Result<CallerApi::Caller> CallerApi::authenticate(const HttpRequest &request) const
{
    Caller caller;
    caller.config = this->config.active();
    if (!caller.config) {
        Error error = refusal(ErrorCode::ServiceUnavailable, Step::Authenticate, "no configuration is active yet");
        error.retryAfter = std::chrono::seconds(1);
        return error;
    }
    constexpr std::string_view scheme = "Bearer ";
    const std::string field = request.header("Authorization");
    const std::string key = field.starts_with(scheme) ? field.substr(scheme.size()) : std::string();
    const OrganisationConfig *organisation = caller.config->configuration.findOrganisationByKeyHash(sha256Hex(key));
    if (key.empty() || organisation == nullptr) {
        return refusal(ErrorCode::Unauthorised, Step::Authenticate, "the header Authorization must be 'Bearer ' followed by an organisation's key");
    }
    caller.organisation = *organisation;
    return caller;
}

asio::awaitable<void> CallerApi::handle(HttpRequest request, HttpExchange &exchange)
{
    this->requests.add();
    const std::string path = request.path();
    Result<Caller> caller = this->authenticate(request);
    if (!caller) {
        co_await exchange.respond(errorResponse(caller.error()));
    } else if (path == "/v1/chat/completions" && request.method == "POST") {
        co_await this->chat(std::move(caller.value()), std::move(request), exchange);
    } else if (path == "/v1/models" && request.method == "GET") {
        co_await exchange.respond(modelList(caller.value().config->configuration));
    } else if (path.starts_with(servicesRoot) && request.method == "POST") {
        co_await this->callService(std::move(caller.value()), std::move(request), exchange);
    } else if (path == programsRoot && request.method == "POST") {
        co_await this->createProgram(std::move(caller.value()), std::move(request), exchange);
    } else if (path.starts_with(std::string(programsRoot) + "/")) {
        co_await this->handleProgram(std::move(caller.value()), std::move(request), exchange);
    } else {
        co_await exchange.respond(errorResponse(refusal(ErrorCode::NotFound, Step::Parse, "the API has no such method and path")));
    }
}

asio::awaitable<void> CallerApi::createProgram(Caller caller, HttpRequest request, HttpExchange &exchange)
{
    boost::system::error_code parseError;
    const json::value document = json::parse(request.body, parseError);
    const json::object object = parseError || !document.is_object() ? json::object() : document.get_object();
    const auto text = [&object](std::string_view key) {
        const json::value *value = object.if_contains(key);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    };
    const std::string kind = text("kind");
    const ProgramConfig *program = caller.config->configuration.findProgram(kind, caller.organisation.name);
    if (program == nullptr) {
        co_await exchange.respond(
            errorResponse(refusal(ErrorCode::NotFound, Step::ProgramCreate, "'kind' must name a program of the organisation, not '" + kind + "'")));
        co_return;
    }
    const std::string requestedId = text("id");
    if (!requestedId.empty() && !isName(requestedId)) {
        co_await exchange.respond(errorResponse(
            refusal(ErrorCode::BadRequest, Step::Parse, "'id' must have 1 to 200 characters, each a letter, a digit or one of -_.:, and not dots alone")));
        co_return;
    }
    const Time now = currentTime();
    ProgramSpec spec{requestedId.empty() ? randomId("prg-") : requestedId,
                     caller.organisation.name,
                     kind,
                     program->budget,
                     program->priority,
                     program->maxTurns,
                     now,
                     now + program->deadline};
    const Result<CallAnswer> created = co_await this->router.create(spec);
    if (!created) {
        co_await exchange.respond(errorResponse(created.error()));
        co_return;
    }
    co_await exchange.respond(createdResponse(spec, created.value().replayed));
}

asio::awaitable<void> CallerApi::handleProgram(Caller caller, HttpRequest request, HttpExchange &exchange)
{
    const std::string rest = request.path().substr(std::string(programsRoot).size() + 1);
    const std::size_t slash = rest.find('/');
    const ProgramId program = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const bool isRead = request.method == "GET" && (action.empty() || action == "history");
    const bool isEnd = request.method == "POST" && (action == "end" || action == "cancel");
    if (isRead) {
        StatusQuery query;
        query.program = program;
        query.organisation = caller.organisation.name;
        query.withHistory = action == "history";
        Result<std::string> state = co_await this->router.status(std::move(query));
        HttpResponse response = state ? jsonResponse(state.value()) : errorResponse(state.error());
        co_await exchange.respond(std::move(response));
    } else if (isEnd) {
        EndCommand command;
        command.program = program;
        command.organisation = caller.organisation.name;
        command.phase = action == "end" ? ProgramPhase::Ended : ProgramPhase::Cancelled;
        const Result<CallAnswer> ended = co_await this->router.end(std::move(command));
        HttpResponse response = ended ? jsonResponse("{}") : errorResponse(ended.error());
        co_await exchange.respond(std::move(response));
    } else {
        co_await exchange.respond(errorResponse(refusal(ErrorCode::NotFound, Step::Parse, "the API has no such method and path")));
    }
}

Result<CallRequest> CallerApi::completeRequest(const Caller &caller, const HttpRequest &http, CallRequest request) const
{
    constexpr Duration defaultDeadline = std::chrono::minutes(10);
    request.organisation = caller.organisation.name;
    request.program = http.header("Program-Id");
    request.branch = http.header("Program-Branch");
    request.requestId = http.header("Idempotency-Key");
    if (!isName(request.program)) {
        return refusal(ErrorCode::BadRequest,
                       Step::Parse,
                       "the header Program-Id is required and must have 1 to 200 characters, each a letter, a digit or one of -_.:, and not dots alone");
    }
    if (!request.branch.empty() && !isName(request.branch)) {
        return refusal(ErrorCode::BadRequest,
                       Step::Parse,
                       "the header Program-Branch must have 1 to 200 characters, each a letter, a digit or one of -_.:, and not dots alone");
    }
    if (request.requestId.empty() && !request.repeatable) {
        return refusal(ErrorCode::BadRequest, Step::Parse, "a call that is not idempotent needs the header Idempotency-Key");
    }
    if (request.requestId.empty()) {
        request.requestId = randomId("req-");
    }
    if (!isName(request.requestId)) {
        return refusal(ErrorCode::BadRequest,
                       Step::Parse,
                       "the header Idempotency-Key must have 1 to 200 characters, each a letter, a digit or one of -_.:, and not dots alone");
    }
    const std::string sequence = http.header("Program-Sequence");
    const std::optional<std::uint64_t> number = sequence.empty() ? std::optional<std::uint64_t>(0) : parseNumber(sequence);
    const std::string deadline = http.header("Program-Deadline");
    const std::optional<std::uint64_t> deadlineMs = deadline.empty() ? std::nullopt : parseNumber(deadline);
    if (!number || (!deadline.empty() && !deadlineMs)) {
        return refusal(ErrorCode::BadRequest, Step::Parse, "the headers Program-Sequence and Program-Deadline (milliseconds) must be whole numbers from 0");
    }
    constexpr std::uint64_t maxDeadlineMs = 86400000; // One day.
    request.sequence = *number;
    request.deadline = currentTime() + (deadlineMs ? Duration(std::chrono::milliseconds(std::min(*deadlineMs, maxDeadlineMs))) : defaultDeadline);
    request.digest = hashOf(request.body, hashOf(request.path, hashOf(request.target)));
    return request;
}

asio::awaitable<void> CallerApi::chat(Caller caller, HttpRequest http, HttpExchange &exchange)
{
    Result<CallRequest> parsed = parseChatRequest(http.body);
    if (parsed) {
        const PoolConfig *pool = caller.config->configuration.findPoolByModel(parsed.value().target);
        if (pool == nullptr) {
            parsed = refusal(ErrorCode::NotFound, Step::Parse, "no pool serves the model '" + parsed.value().target + "'");
        } else {
            const MicroUnits tokens = parsed.value().promptTokens + parsed.value().maxTokens;
            parsed.value().reserve = (tokens * pool->pricePerThousandTokens + tokensPerPriceUnit - 1) / tokensPerPriceUnit;
            parsed = this->completeRequest(caller, http, std::move(parsed.value()));
        }
    }
    if (!parsed) {
        co_await exchange.respond(errorResponse(parsed.error()));
        co_return;
    }
    CallRequest request = std::move(parsed.value());
    this->events.record(Step::Receive, request.program, request.requestId, request.target);
    const Time started = currentTime();
    if (request.streaming) {
        co_await this->stream(std::move(request), exchange);
    } else {
        const std::string requestId = request.requestId;
        const Result<CallAnswer> answer = co_await this->router.run(std::move(request), CallRouter::TextSink());
        HttpResponse response = answer ? answerResponse(answer.value(), requestId) : errorResponse(answer.error());
        co_await exchange.respond(std::move(response));
    }
    this->callSeconds.observe(currentTime() - started);
}

asio::awaitable<void> CallerApi::stream(CallRequest request, HttpExchange &exchange)
{
    const std::string requestId = request.requestId;
    const std::string model = request.target;
    bool started = false;
    std::string sentText;
    const auto startStreamOnce = [&exchange, &started, &requestId]() -> asio::awaitable<void> {
        if (!started) {
            started = true;
            HttpResponse head;
            head.contentType = "text/event-stream";
            head.headers.push_back(HttpHeader{"Request-Id", requestId});
            co_await exchange.startStream(std::move(head));
        }
    };
    const CallRouter::TextSink sink = [&](std::string text) -> asio::awaitable<bool> {
        co_await startStreamOnce();
        sentText += text;
        co_return co_await exchange.sendChunk(chatChunk(requestId, model, text));
    };
    const Result<CallAnswer> answer = co_await this->router.run(std::move(request), sink);
    constexpr int ok = 200;
    if (!started && (!answer || answer.value().status != ok)) {
        HttpResponse response = answer ? answerResponse(answer.value(), requestId) : errorResponse(answer.error());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await startStreamOnce();
    const std::string fullText = answer ? completionText(answer.value().body) : std::string();
    if (answer && fullText.starts_with(sentText)) {
        if (fullText.size() > sentText.size()) {
            co_await exchange.sendChunk(chatChunk(requestId, model, fullText.substr(sentText.size())));
        }
        co_await exchange.sendChunk(chatStreamEnd(requestId, model, answer.value()));
    } else {
        const Error error = answer ? Error{ErrorCode::OutcomeUnknown,
                                           Step::Deliver,
                                           {},
                                           Executed::Yes,
                                           std::nullopt,
                                           "the stream is incomplete; repeat the request with the same Idempotency-Key to get the complete answer"}
                                   : answer.error();
        co_await exchange.sendChunk("data: " + describeError(error) + "\n\n");
    }
    co_await exchange.endStream();
}

asio::awaitable<void> CallerApi::callService(Caller caller, HttpRequest http, HttpExchange &exchange)
{
    const std::string rest = http.path().substr(std::string(servicesRoot).size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const ServiceConfig *service = caller.config->configuration.findService(name);
    CallRequest request;
    request.kind = CallKind::Service;
    request.target = name;
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    request.body = http.body;
    const RouteConfig *route = service == nullptr ? nullptr : findRoute(*service, request.path);
    if (route == nullptr) {
        co_await exchange.respond(errorResponse(refusal(ErrorCode::NotFound, Step::Parse, "no service of this name has a route for this path")));
        co_return;
    }
    request.repeatable = route->repeatable;
    request.reserve = route->price;
    Result<CallRequest> complete = this->completeRequest(caller, http, std::move(request));
    if (!complete) {
        co_await exchange.respond(errorResponse(complete.error()));
        co_return;
    }
    const std::string requestId = complete.value().requestId;
    this->events.record(Step::Receive, complete.value().program, requestId, name);
    const Result<CallAnswer> answer = co_await this->router.run(std::move(complete.value()), CallRouter::TextSink());
    HttpResponse response = answer ? answerResponse(answer.value(), requestId) : errorResponse(answer.error());
    co_await exchange.respond(std::move(response));
}

} // namespace oleandergate
