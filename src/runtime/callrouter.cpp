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

constexpr Duration ownerPause = std::chrono::milliseconds(30);
constexpr Duration channelWait = std::chrono::seconds(5);
constexpr Duration retryAfter = std::chrono::seconds(1);

bool isWrongOwner(const Error &error)
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

//! Passes the text of a channel to a sink until the channel ends.
asio::awaitable<Result<CallAnswer>> drain(std::shared_ptr<AnswerChannel> channel, CallRouter::TextSink sink)
{
    std::size_t passed = 0;
    while (true) {
        const std::optional<Result<CallAnswer>> end = channel->result();
        const std::string text = channel->textFrom(passed);
        passed += text.size();
        if (!text.empty() && sink) {
            co_await sink(text);
        }
        if (end) {
            co_return *end;
        }
        co_await channel->wait(channelWait);
    }
}

} // namespace

CallRouter::CallRouter(const Parts &parts, Duration ownerWait)
    : parts(parts)
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
    const SlotId slot = slotOf(program, this->parts.view.slotCount());
    const Time giveUp = std::min(currentTime() + this->ownerWait, deadline);
    std::size_t sent = 0;
    TextSink counting;
    if (sink) {
        counting = [&sent, &sink](std::string text) -> asio::awaitable<bool> {
            sent += text.size();
            co_return co_await sink(std::move(text));
        };
    }
    Error last{ErrorCode::NotOwner, Step::Forward, {}, Ran::Unknown, retryAfter, "no instance owns the program's slot now"};
    bool first = true;
    bool lostTrack = false;
    while (first || currentTime() < giveUp) {
        if (!first) {
            co_await sleepFor(ownerPause);
        }
        first = false;
        const std::optional<InstanceRecord> owner = this->parts.view.ownerOf(slot);
        if (!owner) {
            continue;
        }
        Result<CallAnswer> answer = last;
        if (owner->id == this->parts.view.self()) {
            answer = co_await this->runHere(command, counting);
        } else {
            this->parts.metrics.count("oleandergate_forwards_total");
            this->parts.events.record(Step::Forward, program, {}, owner->id);
            answer = co_await this->runThere(owner->peerAddress, command, counting);
        }
        if (answer || !isWrongOwner(answer.error()) || sent > 0) {
            if (!answer && lostTrack) {
                // An earlier forward may still be carried out behind this refusal.
                answer.error().ran = Ran::Unknown;
            }
            co_return answer;
        }
        last = answer.error();
        lostTrack = lostTrack || last.code == ErrorCode::PeerFailed;
    }
    // A former owner may have run it, so nothing is claimed.
    last.ran = Ran::Unknown;
    last.retryAfter = retryAfter;
    co_return last;
}

std::shared_ptr<AnswerChannel> CallRouter::startHere(const PeerMessage &command)
{
    if (const auto *call = std::get_if<CallCommand>(&command)) {
        return this->parts.programs.submit(call->request);
    }
    if (const auto *create = std::get_if<CreateCommand>(&command)) {
        return this->parts.programs.create(create->spec);
    }
    const auto &end = std::get<EndCommand>(command);
    return this->parts.programs.end(end.program, end.organisation, end.phase);
}

asio::awaitable<Result<CallAnswer>> CallRouter::runHere(PeerMessage command, TextSink sink)
{
    co_return co_await drain(this->startHere(command), std::move(sink));
}

asio::awaitable<Result<CallAnswer>> CallRouter::runThere(std::string address, PeerMessage command, TextSink sink)
{
    // The peer connection has its own strand, so its pieces come through a channel.
    auto channel = std::make_shared<AnswerChannel>();
    const auto finish = [channel, address](std::exception_ptr /*failure*/, std::optional<Result<PeerMessage>> reply) {
        const Error unexpected{ErrorCode::PeerFailed, Step::Forward, address, Ran::Unknown, std::nullopt, "an unexpected reply"};
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
                         std::shared_ptr<AnswerChannel> pieces) -> asio::awaitable<std::optional<Result<PeerMessage>>> {
        Result<PeerMessage> reply = co_await peers.send(std::move(to), std::move(message), pieces);
        co_return reply;
    };
    asio::co_spawn(co_await asio::this_coro::executor, send(this->parts.peers, address, std::move(command), channel), finish);
    co_return co_await drain(channel, std::move(sink));
}

TextReply CallRouter::statusHere(const StatusQuery &query)
{
    if (query.program.empty()) {
        std::vector<ProgramState> programs;
        this->parts.programs.forEachProgram([&programs, &query](const ProgramState &state) {
            if (query.organisation.empty() || state.spec.organisation == query.organisation) {
                programs.push_back(state);
            }
        });
        return TextReply{true, describePrograms(programs)};
    }
    const Error notFound{ErrorCode::NotFound, Step::Admit, {}, Ran::No, std::nullopt, "no such program"};
    if (!this->parts.programs.ownsSlot(slotOf(query.program, this->parts.view.slotCount()))) {
        return TextReply{false, {}, Error{ErrorCode::NotOwner, Step::Admit, {}, Ran::No, retryAfter, "this instance does not own the program's slot"}};
    }
    const std::optional<ProgramState> state = this->parts.programs.findProgram(query.program);
    if (!state || (!query.organisation.empty() && state->spec.organisation != query.organisation)) {
        return TextReply{false, {}, notFound};
    }
    return TextReply{true, describeProgram(*state, query.withHistory)};
}

asio::awaitable<Result<std::string>> CallRouter::status(StatusQuery query)
{
    const SlotId slot = slotOf(query.program, this->parts.view.slotCount());
    const Time giveUp = currentTime() + this->ownerWait;
    Error last{ErrorCode::NotOwner, Step::Forward, {}, Ran::No, retryAfter, "no instance owns the program's slot now"};
    while (currentTime() < giveUp) {
        const std::optional<InstanceRecord> owner = this->parts.view.ownerOf(slot);
        TextReply reply{false, {}, last};
        if (owner && owner->id == this->parts.view.self()) {
            reply = this->statusHere(query);
        } else if (owner) {
            Result<PeerMessage> answer = co_await this->parts.peers.send(owner->peerAddress, query);
            if (const auto *text = answer ? std::get_if<TextReply>(&answer.value()) : nullptr) {
                reply = *text;
            }
        }
        if (reply.succeeded) {
            co_return reply.text;
        }
        if (!isWrongOwner(reply.error)) {
            co_return reply.error;
        }
        co_await sleepFor(ownerPause);
    }
    co_return last;
}

asio::awaitable<PeerMessage> CallRouter::serve(PeerMessage command, std::shared_ptr<AnswerChannel> pieces)
{
    if (const auto *query = std::get_if<StatusQuery>(&command)) {
        co_return this->statusHere(*query);
    }
    if (const auto *query = std::get_if<GoneQuery>(&command)) {
        GoneReply reply;
        reply.programs = this->parts.programs.goneOf(query->programs);
        co_return reply;
    }
    if (std::holds_alternative<ConfigQuery>(command)) {
        const std::shared_ptr<const ActiveConfig> active = this->parts.config.active();
        ConfigReply reply;
        if (active) {
            reply.version = active->version.version;
            reply.text = active->version.text;
            reply.author = active->version.author;
        }
        co_return reply;
    }
    const bool known
        = std::holds_alternative<CallCommand>(command) || std::holds_alternative<CreateCommand>(command) || std::holds_alternative<EndCommand>(command);
    if (!known) {
        co_return replyOf(Error{ErrorCode::BadRequest, Step::Forward, {}, Ran::No, std::nullopt, "not a command"});
    }
    const auto sink = [pieces](std::string text) -> asio::awaitable<bool> {
        pieces->push(text);
        co_return true;
    };
    const Result<CallAnswer> answer = co_await this->runHere(std::move(command), sink);
    co_return replyOf(answer);
}

} // namespace oleandergate
