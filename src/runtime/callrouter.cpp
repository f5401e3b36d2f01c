#include "runtime/callrouter.h"

#include "decision/hash.h"
#include "runtime/answerchannel.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/configservice.h"
#include "runtime/eventlog.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/programdocument.h"
#include "runtime/programservice.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration ownerRetryDelay = std::chrono::milliseconds(30);
constexpr Duration maxChannelWait = std::chrono::seconds(5);
constexpr Duration retryAfter = std::chrono::seconds(1);

bool isOwnerUnavailable(const Error &error)
{
    return error.code == ErrorCode::NotOwner || error.code == ErrorCode::SlotMoving || error.code == ErrorCode::PeerFailed;
}

PeerMessage replyOf(const Result<CallAnswer> &answer)
{
    CallReply reply;
    reply.succeeded = answer.has_value();
    if (answer) {
        reply.answer = answer.value();
    } else {
        reply.error = answer.error();
    }
    return reply;
}

//! Passes text from a channel to a sink until the channel has its final result, and returns that.
asio::awaitable<Result<CallAnswer>> relayAnswer(std::shared_ptr<AnswerChannel> channel, CallRouter::TextSink sink)
{
    std::size_t relayedBytes = 0;
    while (true) {
        const std::optional<Result<CallAnswer>> end = channel->result();
        const std::string text = channel->textFrom(relayedBytes);
        relayedBytes += text.size();
        if (!text.empty() && sink) {
            co_await sink(text);
        }
        if (end) {
            co_return *end;
        }
        co_await channel->wait(maxChannelWait);
    }
}

} // namespace

CallRouter::CallRouter(const Dependencies &dependencies, Duration ownerWait)
    : dependencies(dependencies)
    , ownerWait(ownerWait)
{
}

asio::awaitable<Result<CallAnswer>> CallRouter::run(CallRequest request, TextSink sink)
{
    const ProgramId program = request.program;
    const Time deadline = request.deadline;
    PeerMessage command = CallCommand{std::move(request)};
    co_return co_await this->route(program, std::move(command), std::move(sink), deadline);
}

asio::awaitable<Result<CallAnswer>> CallRouter::create(ProgramSpec spec)
{
    const ProgramId program = spec.id;
    PeerMessage command = CreateCommand{std::move(spec)};
    co_return co_await this->route(program, std::move(command), TextSink(), Time::max());
}

asio::awaitable<Result<CallAnswer>> CallRouter::end(EndCommand end)
{
    const ProgramId program = end.program;
    PeerMessage command = std::move(end);
    co_return co_await this->route(program, std::move(command), TextSink(), Time::max());
}

asio::awaitable<Result<CallAnswer>> CallRouter::route(ProgramId program, PeerMessage command, TextSink sink, Time deadline)
{
    const SlotId slot = slotOf(program, this->dependencies.view.slotCount());
    const Time giveUpAt = std::min(currentTime() + this->ownerWait, deadline);
    std::size_t sentBytes = 0;
    TextSink countingSink;
    if (sink) {
        countingSink = [&sentBytes, &sink](std::string text) -> asio::awaitable<bool> {
            sentBytes += text.size();
            co_return co_await sink(std::move(text));
        };
    }
    Error lastError{ErrorCode::NotOwner, Step::Forward, {}, Executed::Unknown, retryAfter, "no instance owns the program's slot at the moment"};
    bool firstAttempt = true;
    bool mayHaveRun = false;
    while (firstAttempt || currentTime() < giveUpAt) {
        if (!firstAttempt) {
            co_await sleepFor(ownerRetryDelay);
        }
        firstAttempt = false;
        const std::optional<InstanceRecord> owner = this->dependencies.view.ownerOf(slot);
        if (!owner) {
            continue;
        }
        Result<CallAnswer> answer = lastError;
        if (owner->id == this->dependencies.view.self()) {
            answer = co_await this->runLocally(command, countingSink);
        } else {
            this->dependencies.metrics.count("oleandergate_forwards_total");
            this->dependencies.events.record(Step::Forward, program, {}, owner->id);
            answer = co_await this->runOnPeer(owner->peerAddress, command, countingSink);
        }
        if (answer || !isOwnerUnavailable(answer.error()) || sentBytes > 0) {
            if (!answer && mayHaveRun) {
                // The peer of an earlier attempt may still execute the command, so this error does not prove that it was not executed.
                answer.error().executed = Executed::Unknown;
            }
            co_return answer;
        }
        lastError = answer.error();
        mayHaveRun = mayHaveRun || lastError.code == ErrorCode::PeerFailed;
    }
    // A previous owner may have executed the command.
    lastError.executed = Executed::Unknown;
    lastError.retryAfter = retryAfter;
    co_return lastError;
}

std::shared_ptr<AnswerChannel> CallRouter::startLocally(const PeerMessage &command)
{
    if (const auto *call = std::get_if<CallCommand>(&command)) {
        return this->dependencies.programs.submit(call->request);
    }
    if (const auto *create = std::get_if<CreateCommand>(&command)) {
        return this->dependencies.programs.create(create->spec);
    }
    const auto &end = std::get<EndCommand>(command);
    return this->dependencies.programs.end(end.program, end.organisation, end.phase);
}

asio::awaitable<Result<CallAnswer>> CallRouter::runLocally(PeerMessage command, TextSink sink)
{
    co_return co_await relayAnswer(this->startLocally(command), std::move(sink));
}

asio::awaitable<Result<CallAnswer>> CallRouter::runOnPeer(std::string address, PeerMessage command, TextSink sink)
{
    // The peer connection runs on its own strand, so its chunks are passed through a channel.
    auto channel = std::make_shared<AnswerChannel>();
    const auto finish = [channel, address](std::exception_ptr /*failure*/, std::optional<Result<PeerMessage>> reply) {
        const Error unexpected{ErrorCode::PeerFailed, Step::Forward, address, Executed::Unknown, std::nullopt, "the peer sent a reply of an unexpected type"};
        const auto *end = reply && *reply ? std::get_if<CallReply>(&reply->value()) : nullptr;
        if (end != nullptr) {
            channel->finish(end->succeeded ? Result<CallAnswer>(end->answer) : Result<CallAnswer>(end->error));
        } else {
            channel->finish(reply && !*reply ? reply->error() : unexpected);
        }
    };
    const auto send = [](PeerClient &peers,
                         std::string to,
                         PeerMessage message,
                         std::shared_ptr<AnswerChannel> answerChannel) -> asio::awaitable<std::optional<Result<PeerMessage>>> {
        Result<PeerMessage> reply = co_await peers.send(std::move(to), std::move(message), answerChannel);
        co_return reply;
    };
    asio::co_spawn(co_await asio::this_coro::executor, send(this->dependencies.peers, address, std::move(command), channel), finish);
    co_return co_await relayAnswer(channel, std::move(sink));
}

TextReply CallRouter::localStatus(const StatusQuery &query)
{
    if (query.program.empty()) {
        std::vector<ProgramState> programs;
        this->dependencies.programs.forEachProgram([&programs, &query](const ProgramState &state) {
            if (query.organisation.empty() || state.spec.organisation == query.organisation) {
                programs.push_back(state);
            }
        });
        return TextReply{true, describePrograms(programs)};
    }
    const Error notFound{ErrorCode::NotFound, Step::Admit, {}, Executed::No, std::nullopt, "no such program"};
    if (!this->dependencies.programs.ownsSlot(slotOf(query.program, this->dependencies.view.slotCount()))) {
        return TextReply{false, {}, Error{ErrorCode::NotOwner, Step::Admit, {}, Executed::No, retryAfter, "this instance does not own the program's slot"}};
    }
    const std::optional<ProgramState> state = this->dependencies.programs.findProgram(query.program);
    if (!state || (!query.organisation.empty() && state->spec.organisation != query.organisation)) {
        return TextReply{false, {}, notFound};
    }
    return TextReply{true, describeProgram(*state, query.withHistory)};
}

asio::awaitable<Result<std::string>> CallRouter::status(StatusQuery query)
{
    const SlotId slot = slotOf(query.program, this->dependencies.view.slotCount());
    const Time giveUpAt = currentTime() + this->ownerWait;
    Error lastError{ErrorCode::NotOwner, Step::Forward, {}, Executed::No, retryAfter, "no instance owns the program's slot at the moment"};
    while (currentTime() < giveUpAt) {
        const std::optional<InstanceRecord> owner = this->dependencies.view.ownerOf(slot);
        TextReply reply{false, {}, lastError};
        if (owner && owner->id == this->dependencies.view.self()) {
            reply = this->localStatus(query);
        } else if (owner) {
            Result<PeerMessage> answer = co_await this->dependencies.peers.send(owner->peerAddress, query);
            if (const auto *text = answer ? std::get_if<TextReply>(&answer.value()) : nullptr) {
                reply = *text;
            }
        }
        if (reply.succeeded) {
            co_return reply.text;
        }
        if (!isOwnerUnavailable(reply.error)) {
            co_return reply.error;
        }
        co_await sleepFor(ownerRetryDelay);
    }
    co_return lastError;
}

asio::awaitable<PeerMessage> CallRouter::serve(PeerMessage command, std::shared_ptr<AnswerChannel> answerChannel)
{
    if (const auto *query = std::get_if<StatusQuery>(&command)) {
        co_return this->localStatus(*query);
    }
    if (const auto *query = std::get_if<GoneQuery>(&command)) {
        GoneReply reply;
        reply.programs = this->dependencies.programs.filterGonePrograms(query->programs);
        co_return reply;
    }
    if (std::holds_alternative<ConfigQuery>(command)) {
        const std::shared_ptr<const ActiveConfig> active = this->dependencies.config.active();
        ConfigReply reply;
        if (active) {
            reply.version = active->version.version;
            reply.text = active->version.text;
            reply.author = active->version.author;
        }
        co_return reply;
    }
    const bool isCallerCommand
        = std::holds_alternative<CallCommand>(command) || std::holds_alternative<CreateCommand>(command) || std::holds_alternative<EndCommand>(command);
    if (!isCallerCommand) {
        co_return replyOf(Error{
            ErrorCode::BadRequest, Step::Forward, {}, Executed::No, std::nullopt, "the message is neither a command nor a query that this instance answers"});
    }
    const auto sink = [answerChannel](std::string text) -> asio::awaitable<bool> {
        answerChannel->push(text);
        co_return true;
    };
    const Result<CallAnswer> answer = co_await this->runLocally(std::move(command), sink);
    co_return replyOf(answer);
}

} // namespace oleandergate
