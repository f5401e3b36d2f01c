#include "fault/simcaller.h"

#include "decision/hash.h"
#include "fault/simulation.h"

namespace oleandergate::fault {

namespace {

constexpr const char *organisation = "nakhla";
constexpr int maxTries = 60;
constexpr Duration patience = std::chrono::seconds(8);
constexpr Duration callPatience = std::chrono::seconds(30);

} // namespace

SimCaller::SimCaller(Simulation &simulation, std::size_t number)
    : simulation(simulation)
    , id("program-" + std::to_string(number))
{
}

const ProgramId &SimCaller::program() const
{
    return this->id;
}

bool SimCaller::isDone() const
{
    return this->done;
}

void SimCaller::start()
{
    this->create();
}

void SimCaller::dispatch(SimCommand command, const Reply &reply)
{
    std::vector<SimInstance *> live;
    for (const auto &instance : this->simulation.instances) {
        if (instance->alive && !instance->stopping) {
            live.push_back(instance.get());
        }
    }
    const Time sentAt = this->simulation.now();
    const RequestId request = command.request.requestId;
    this->openSubmissions[request] += 1;
    const auto answered = std::make_shared<bool>(false);
    const auto once = [this, reply, answered, sentAt, request](const Result<CallAnswer> &outcome) {
        if (!*answered) {
            *answered = true;
            this->openSubmissions[request] -= 1;
            Recorder &recorder = this->simulation.recorder;
            recorder.longestWait = std::max(recorder.longestWait, this->simulation.now() - sentAt);
            reply(outcome);
        }
    };
    const Error lost{ErrorCode::PeerFailed, Step::Receive, {}, Executed::Unknown, std::nullopt, "the connection broke"};
    if (live.empty()) {
        this->simulation.after(std::chrono::milliseconds(200), [once, lost]() {
            once(lost);
        });
        return;
    }
    SimInstance *entry = live[static_cast<std::size_t>(this->simulation.between(0, 1000).count()) % live.size()];
    const InstanceId entryId = entry->id;
    this->simulation.after(std::chrono::milliseconds(1), [entry, entryId, command, once, lost]() {
        if (entry->alive && entry->id == entryId) {
            entry->accept(command, once);
        } else {
            once(lost);
        }
    });
    // The caller notices that its entry instance died, and gives up on one that is silent for long.
    const auto watchdog = std::make_shared<std::function<void()>>();
    *watchdog = [this, entry, entryId, once, lost, answered, sentAt, watchdog]() {
        if (*answered) {
            return;
        }
        if (entry->stoppedAsPlanned == entryId) {
            this->simulation.recorder.violations.push_back("stop: a planned stop cut a request off");
        }
        if (!entry->alive || entry->id != entryId || this->simulation.now() > sentAt + patience) {
            once(lost);
            return;
        }
        this->simulation.after(std::chrono::milliseconds(100), *watchdog);
    };
    this->simulation.after(std::chrono::milliseconds(100), *watchdog);
}

void SimCaller::create()
{
    SimCommand command;
    command.kind = SimCommand::Kind::Create;
    const Time now = this->simulation.now();
    command.spec
        = ProgramSpec{this->id, organisation, "round", this->id.ends_with('1') ? tightBudget : programBudget, 0, 40, now, now + std::chrono::minutes(10)};
    this->dispatch(command, [this](const Result<CallAnswer> &outcome) {
        if (!outcome) {
            this->simulation.after(std::chrono::milliseconds(100), [this]() {
                this->create();
            });
            return;
        }
        this->nextCall(this->mainLine);
        // The sub-agent's two calls leave its caller together and may overtake each other on the way.
        this->simulation.after(std::chrono::milliseconds(30), [this]() {
            this->nextCall(this->agentSecond);
            this->nextCall(this->agentFirst);
        });
    });
}

CallRequest SimCaller::requestAt(const std::string &branch, std::uint64_t sequence) const
{
    CallRequest request;
    request.program = this->id;
    request.organisation = organisation;
    request.branch = branch;
    request.sequence = sequence;
    request.requestId = this->id + "/" + branch + "/" + std::to_string(sequence);
    request.repeatable = sequence % 3 != 0;
    request.kind = request.repeatable ? CallKind::Model : CallKind::Service;
    request.messages = {"question " + request.requestId};
    request.body = request.requestId;
    request.digest = hashOf(request.requestId);
    request.promptTokens = 20;
    request.maxTokens = 30;
    request.reserve = callPrice;
    return request;
}

void SimCaller::nextCall(Line &line)
{
    if (this->ending) {
        return;
    }
    if (line.sequence > line.calls) {
        line.finished = true;
        if (this->mainLine.finished && this->agentFirst.finished && this->agentSecond.finished) {
            this->ending = true;
            this->end(0);
        }
        return;
    }
    const CallRequest request = this->requestAt(line.branch, line.sequence);
    // The tool's pause between two calls.
    this->simulation.after(this->simulation.between(1000, 80000), [this, &line, request]() {
        this->submit(line, request, 0);
    });
}

void SimCaller::submit(Line &line, CallRequest request, int tries)
{
    if (tries > maxTries) {
        this->simulation.recorder.violations.push_back("a caller came back " + std::to_string(maxTries) + " times without success: " + request.requestId);
        this->giveUp();
        return;
    }
    SimCommand command;
    command.kind = SimCommand::Kind::Call;
    command.submission = this->nextSubmission++;
    request.deadline = this->simulation.now() + callPatience;
    command.request = request;
    this->latest = request;
    const std::uint64_t submission = command.submission;
    this->dispatch(command, [this, &line, request, submission, tries](const Result<CallAnswer> &outcome) {
        this->onReply(line, request, submission, tries, outcome);
    });
}

void SimCaller::duplicate()
{
    if (!this->latest.requestId.empty() && !this->ending) {
        this->bringAgain(this->latest);
    }
}

void SimCaller::bringAgain(const CallRequest &again)
{
    SimCommand command;
    command.kind = SimCommand::Kind::Call;
    command.submission = this->nextSubmission++;
    command.request = again;
    command.request.deadline = this->simulation.now() + callPatience;
    const std::uint64_t submission = command.submission;
    const RequestId request = again.requestId;
    this->dispatch(command, [this, submission, request](const Result<CallAnswer> &outcome) {
        Recorder &recorder = this->simulation.recorder;
        if (outcome) {
            recorder.answers.push_back(ReceivedAnswer{this->id, request, outcome.value().body, outcome.value().historyPending});
        } else if (outcome.error().executed == Executed::No) {
            recorder.claims.push_back(NotRunClaim{this->simulation.now(), request, submission, this->openSubmissions[request] > 0});
        }
    });
}

void SimCaller::onReply(Line &line, const CallRequest &request, std::uint64_t submission, int tries, const Result<CallAnswer> &outcome)
{
    if (this->ending) {
        return;
    }
    Recorder &recorder = this->simulation.recorder;
    if (outcome) {
        recorder.answers.push_back(ReceivedAnswer{this->id, request.requestId, outcome.value().body, outcome.value().historyPending});
        line.sequence += 1;
        this->nextCall(line);
        return;
    }
    recorder.refused += 1;
    const Error &error = outcome.error();
    if (error.executed == Executed::No) {
        recorder.claims.push_back(NotRunClaim{this->simulation.now(), request.requestId, submission, this->openSubmissions[request.requestId] > 0});
    }
    if (error.code == ErrorCode::OutcomeUnknown && !request.repeatable) {
        line.sequence += 1;
        this->nextCall(line);
        return;
    }
    const bool final = error.code == ErrorCode::BudgetExhausted || error.code == ErrorCode::SequenceUsed || error.code == ErrorCode::ProgramEnded
        || error.code == ErrorCode::NotFound;
    if (final) {
        this->giveUp();
        return;
    }
    if (error.code == ErrorCode::SequenceGap && request.sequence > 1) {
        // A turn that was answered while its journal was out of reach is gone; the caller brings it again.
        for (std::uint64_t sequence = 1; sequence < request.sequence; ++sequence) {
            this->bringAgain(this->requestAt(request.branch, sequence));
        }
    }
    this->simulation.after(error.retryAfter.value_or(std::chrono::milliseconds(150)), [this, &line, request, tries]() {
        this->submit(line, request, tries + 1);
    });
}

void SimCaller::giveUp()
{
    if (!this->ending) {
        this->ending = true;
        this->end(0);
    }
}

void SimCaller::end(int tries)
{
    SimCommand command;
    command.kind = SimCommand::Kind::End;
    command.request.program = this->id;
    command.request.organisation = organisation;
    this->dispatch(command, [this, tries](const Result<CallAnswer> &outcome) {
        if (outcome) {
            this->done = true;
            this->simulation.recorder.endedPrograms.insert(this->id);
        } else if (tries < maxTries) {
            this->simulation.after(std::chrono::milliseconds(150), [this, tries]() {
                this->end(tries + 1);
            });
        }
    });
}

} // namespace oleandergate::fault
