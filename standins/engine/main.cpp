//! Stand-in for a model engine in tests. Streams OpenAI-compatible chat completions and simulates batch slots, a limited
//! prefix cache, delayed load reports, and faults that a test switches on.

#include "common/standin.h"
#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/commandline.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <deque>
#include <map>

namespace {

using namespace oleandergate;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *usage = R"(standin-engine: a model engine for tests.

Usage:
  standin-engine --listen=ADDRESS --name=NAME [options]

Options:
  --listen=ADDRESS       IP address and port.
  --name=NAME            Name of the endpoint.
  --record=FILE          File for a record of the requests, as JSON lines [default: ].
  --slots=N              Calls that are batched at once [default: 8].
  --token-us=N           Microseconds to generate one token [default: 5000].
  --prefill-us=N         Microseconds to process one uncached prompt token [default: 20].
  --cache-tokens=N       Capacity of the prefix cache in tokens [default: 200000].
  --load-lag-ms=N        Delay of load reports in milliseconds [default: 500].
  --fencing=MODE         Whether to refuse or ignore old fencing numbers [default: ignore].
)";

//! Before the number of tokens of the answer, in the text of a message.
constexpr std::string_view answerTokensMarker = "[[tokens=";

constexpr std::size_t bytesPerToken = 4; //!< Approximation for the prompt, as the engine has no tokenizer.
constexpr std::int64_t tokensPerMessage = 4; //!< Role and separators of one message.
constexpr std::int64_t defaultMaxTokens = 1024;
constexpr std::int64_t tokenIndexOfFault = 2; //!< Faults of a stream begin with this token of the response, counted from 0.

struct Engine
{
    std::string name;
    std::int64_t slots;
    Duration tokenTime;
    Duration prefillTime;
    std::int64_t cacheTokens;
    Duration loadLag;
    bool fencing;
    standin::Recorder recorder;
    std::mutex mutex{};
    std::int64_t running = 0;
    std::string fault = "none";
    std::int64_t faultFactor = 1;
    std::map<std::string, std::int64_t> cache{}; //!< Cached tokens by cache salt.
    std::deque<std::string> cacheUseOrder{}; //!< Cache salts, least recently used first.
    std::map<std::string, std::int64_t> latestEpoch{}; //!< Highest fencing number by program.
    std::deque<std::pair<Time, std::int64_t>> loadHistory{}; //!< Running calls after each change.
    std::map<std::string, std::string> formerAnswers{}; //!< The last whole stream on each connection, by the caller's address and port.

    std::int64_t cachedTokens(const std::string &salt, std::int64_t promptTokens)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->cache.find(salt);
        return found == this->cache.end() ? 0 : std::min(found->second, promptTokens);
    }

    void cachePrefix(const std::string &salt, std::int64_t tokens)
    {
        const std::lock_guard lock(this->mutex);
        std::erase(this->cacheUseOrder, salt);
        this->cacheUseOrder.push_back(salt);
        this->cache[salt] = std::max(this->cache[salt], tokens);
        std::int64_t total = 0;
        for (const auto &[key, entryTokens] : this->cache) {
            total += entryTokens;
        }
        while (total > this->cacheTokens && this->cacheUseOrder.size() > 1) {
            total -= this->cache[this->cacheUseOrder.front()];
            this->cache.erase(this->cacheUseOrder.front());
            this->cacheUseOrder.pop_front();
        }
    }

    bool isFenced(const std::string &program, std::int64_t epoch)
    {
        const std::lock_guard lock(this->mutex);
        std::int64_t &latest = this->latestEpoch[program];
        if (this->fencing && epoch < latest) {
            return true;
        }
        latest = std::max(latest, epoch);
        return false;
    }

    void addLoad(std::int64_t change)
    {
        const std::lock_guard lock(this->mutex);
        this->running += change;
        const Time now = currentTime();
        this->loadHistory.emplace_back(now, this->running);
        while (this->loadHistory.size() > 2 && this->loadHistory[1].first + this->loadLag < now) {
            this->loadHistory.pop_front();
        }
    }

    std::int64_t reportedLoad()
    {
        const std::lock_guard lock(this->mutex);
        std::int64_t load = 0;
        for (const auto &[at, value] : this->loadHistory) {
            if (at + this->loadLag <= currentTime()) {
                load = value;
            }
        }
        return load;
    }
};

struct Prompt
{
    std::int64_t tokens = 0;
    std::int64_t answerTokens = 16;
    std::int64_t alreadyGenerated = 0;
    std::uint64_t hash = 0;
};

std::int64_t countWords(const std::string &text)
{
    return std::count(text.begin(), text.end(), ' ');
}

//! Parses the messages. The text "[[tokens=N]]" in one sets the length of the answer.
Prompt readPrompt(const json::object &body)
{
    Prompt prompt;
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return prompt;
    }
    const json::value *continueFlag = body.if_contains("continue_final_message");
    const bool isContinuation = continueFlag != nullptr && continueFlag->is_bool() && continueFlag->get_bool();
    std::size_t count = messages->get_array().size();
    for (std::size_t index = 0; index < count; ++index) {
        const json::object message = messages->get_array()[index].is_object() ? messages->get_array()[index].get_object() : json::object();
        const std::string content = jsonText(message, "content");
        prompt.tokens += static_cast<std::int64_t>(content.size() / bytesPerToken) + tokensPerMessage;
        if (isContinuation && index + 1 == count) {
            prompt.alreadyGenerated = countWords(content);
            continue;
        }
        prompt.hash = hashOf(content, prompt.hash);
        const std::size_t marker = content.find(answerTokensMarker);
        if (marker != std::string::npos) {
            prompt.answerTokens = std::strtoll(content.c_str() + marker + answerTokensMarker.size(), nullptr, 10);
        }
    }
    const std::int64_t maxAnswerTokens = jsonNumber(body, "max_tokens", defaultMaxTokens) + prompt.alreadyGenerated;
    prompt.answerTokens = std::min(prompt.answerTokens, maxAnswerTokens);
    return prompt;
}

json::object choiceEvent(json::object delta, json::value finishReason)
{
    const json::object choice{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finishReason)}};
    return json::object{{"object", "chat.completion.chunk"}, {"choices", json::array{choice}}};
}

std::string tokenEvent(const std::string &token)
{
    return "data: " + json::serialize(choiceEvent(json::object{{"content", token}}, nullptr)) + "\n\n";
}

std::string finalEvents(const Prompt &prompt, std::int64_t uncachedTokens)
{
    json::object finalEvent = choiceEvent(json::object{}, "stop");
    const std::int64_t generated = std::max<std::int64_t>(0, prompt.answerTokens - prompt.alreadyGenerated);
    finalEvent["usage"] = json::object{{"prompt_tokens", prompt.tokens}, {"completion_tokens", generated}, {"cached_tokens", prompt.tokens - uncachedTokens}};
    return "data: " + json::serialize(finalEvent) + "\n\ndata: [DONE]\n\n";
}

json::object arrivalRecord(const Engine &engine, const HttpRequest &request, const Prompt &prompt, const std::string &salt)
{
    return json::object{
        {"kind", "arrival"},
        {"endpoint", engine.name},
        {"program", request.header("Program-Id")},
        {"branch", request.header("Program-Branch")},
        {"sequence", request.header("Program-Sequence")},
        {"request", request.header("Idempotency-Key")},
        {"epoch", std::strtoll(request.header("Fencing-Number").c_str(), nullptr, 10)},
        {"salt", salt},
        {"prompt_tokens", prompt.tokens},
        {"resumed_at", prompt.alreadyGenerated},
    };
}

HttpResponse errorResponse(const std::string &text, int status)
{
    return standin::jsonResponse(json::object{{"error", text}}, status);
}

json::object cacheHolders(const Engine &engine)
{
    json::array salts;
    for (const auto &[salt, tokens] : engine.cache) {
        salts.push_back(json::string(salt));
    }
    return json::object{{"cache_salts", salts}};
}

json::object loadReport(Engine &engine)
{
    return json::object{{"server_load", engine.reportedLoad()}};
}

//! Returns the stream that was sent last on the connection of \p peer, where the engine is to send it once more; empty otherwise.
std::string answerToRepeat(Engine &engine, const std::string &peer)
{
    const std::lock_guard lock(engine.mutex);
    return engine.fault == "repeat" ? engine.formerAnswers[peer] : std::string();
}

asio::awaitable<bool> generate(Engine &engine, const Prompt &prompt, const std::string &salt, const std::string &peer, HttpExchange &exchange)
{
    std::string answer = answerToRepeat(engine, peer);
    if (!answer.empty()) {
        co_return co_await exchange.sendChunk(std::move(answer));
    }
    const std::int64_t uncachedTokens = prompt.tokens - engine.cachedTokens(salt, prompt.tokens);
    co_await sleepFor(engine.prefillTime * uncachedTokens * engine.faultFactor);
    for (std::int64_t index = prompt.alreadyGenerated; index < prompt.answerTokens; ++index) {
        co_await sleepFor(engine.tokenTime * engine.faultFactor);
        const std::string token = "w" + std::to_string(prompt.hash % 1000) + "-" + std::to_string(index) + " ";
        answer += tokenEvent(token);
        const bool sent = co_await exchange.sendChunk(tokenEvent(token));
        if (!sent) {
            co_return false;
        }
        const bool faultDue = index - prompt.alreadyGenerated >= tokenIndexOfFault;
        if (engine.fault == "cut" && faultDue) {
            co_return false;
        }
        if (engine.fault == "hang" && faultDue) {
            co_await sleepFor(std::chrono::hours(1));
        }
        if (engine.fault == "garble" && faultDue) {
            co_await exchange.sendChunk("data: {\"choices\": [nonsense\n\n");
        }
    }
    answer += finalEvents(prompt, uncachedTokens);
    co_await exchange.sendChunk(finalEvents(prompt, uncachedTokens));
    const std::lock_guard lock(engine.mutex);
    engine.formerAnswers[peer] = std::move(answer);
    co_return true;
}

asio::awaitable<void> handleCompletion(Engine &engine, HttpRequest request, HttpExchange &exchange)
{
    const json::object body = parseJsonObject(request.body);
    const std::string program = request.header("Program-Id");
    const std::string salt = jsonText(body, "cache_salt");
    const std::int64_t epoch = std::strtoll(request.header("Fencing-Number").c_str(), nullptr, 10);
    const Prompt prompt = readPrompt(body);
    const bool fenced = engine.isFenced(program, epoch);
    const bool refused = engine.fault == "refuse";
    json::object record = arrivalRecord(engine, request, prompt, salt);
    record["accepted"] = !fenced && !refused;
    engine.recorder.write(record);
    if (fenced || refused) {
        co_await exchange.respond(errorResponse(fenced ? "old fencing number" : "busy", fenced ? 409 : 503));
        co_return;
    }
    engine.addLoad(1);
    while (engine.running > engine.slots) {
        co_await sleepFor(std::chrono::milliseconds(2));
        if (engine.running <= engine.slots * 2) {
            break;
        }
    }
    HttpResponse head;
    head.contentType = "text/event-stream";
    co_await exchange.startStream(std::move(head));
    const bool finished = co_await generate(engine, prompt, salt, request.peer, exchange);
    engine.addLoad(-1);
    engine.cachePrefix(salt, prompt.tokens + prompt.answerTokens);
    record["kind"] = "end";
    record["whole"] = finished;
    record["completion_tokens"] = finished ? prompt.answerTokens - prompt.alreadyGenerated : 0;
    engine.recorder.write(record);
    if (!finished) {
        throw std::runtime_error("the stream ended early");
    }
    co_await exchange.endStream();
}

asio::awaitable<void> handle(Engine &engine, HttpRequest request, HttpExchange &exchange)
{
    const std::string path = request.path();
    HttpResponse response = errorResponse("no such path", 404);
    if (path == "/v1/chat/completions") {
        co_await handleCompletion(engine, std::move(request), exchange);
        co_return;
    }
    if (path == "/load") {
        response = standin::jsonResponse(loadReport(engine));
    } else if (path == "/v1/cache/holders") {
        const std::lock_guard lock(engine.mutex);
        response = standin::jsonResponse(cacheHolders(engine));
    } else if (path == "/v1/cache/release") {
        const std::string salt = jsonText(parseJsonObject(request.body), "cache_salt");
        const std::lock_guard lock(engine.mutex);
        engine.cache.erase(salt);
        std::erase(engine.cacheUseOrder, salt);
        response = standin::jsonResponse(json::object());
    } else if (path == "/fault") {
        const json::object fault = parseJsonObject(request.body);
        const std::lock_guard lock(engine.mutex);
        engine.fault = jsonText(fault, "mode");
        engine.faultFactor = jsonNumber(fault, "factor", 1);
        response = standin::jsonResponse(json::object());
    }
    co_await exchange.respond(std::move(response));
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("standin-engine", usage, argc, argv);
    const auto number = [&options](const std::string &key) {
        return std::strtoll(options.at(key).asString().c_str(), nullptr, 10);
    };
    Engine engine{options.at("--name").asString(),
                  number("--slots"),
                  Duration(number("--token-us")),
                  Duration(number("--prefill-us")),
                  number("--cache-tokens"),
                  std::chrono::milliseconds(number("--load-lag-ms")),
                  options.at("--fencing").asString() == "refuse",
                  standin::Recorder(options.at("--record").asString())};
    return standin::serve(engine.name, options.at("--listen").asString(), 2, [&engine](HttpRequest request, HttpExchange &exchange) {
        return handle(engine, std::move(request), exchange);
    });
}
