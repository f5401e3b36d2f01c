#include "fault/simcaller.h"

#include "decision/hash.h"
#include "fault/simulation.h"

namespace oleandergate::fault {

namespace {

constexpr const char *organisation = "nakhla";
constexpr int maxTries = 60;
constexpr Duration replyTimeout = std::chrono::seconds(8);
constexpr Duration callTimeout = std::chrono::seconds(30);
constexpr Duration networkDelay = std::chrono::milliseconds(1); // one way
constexpr Duration connectionErrorDelay = std::chrono::milliseconds(200);
constexpr Duration processCheckInterval = std::chrono::milliseconds(100);
constexpr Duration createRetryDelay = std::chrono::milliseconds(100);
constexpr Duration retryDelay = std::chrono::milliseconds(150);
constexpr Duration agentStartDelay = std::chrono::milliseconds(30);
constexpr auto programLifetime = std::chrono::minutes(10);
constexpr int maxTurns = 40;

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
    this->createProgram();
}

void SimCaller::sendCommand(SimCommand command, const Reply &reply)
{
    std::vector<SimInstance *> liveInstances;
    for (const auto &instance : this->simulation.instances) {
        if (instance->alive && !instance->stopping) {
            liveInstances.push_back(instance.get());
        }
    }
    const Time sentAt = this->simulation.now();
    const RequestId request = command.request.requestId;
    this->openSubmissions[request] += 1;
    const auto answered = std::make_shared<bool>(false);
    const auto replyOnce = [this, reply, answered, sentAt, request](const Result<CallAnswer> &outcome) {
        if (!*answered) {
            *answered = true;
            this->openSubmissions[request] -= 1;
            Recorder &recorder = this->simulation.recorder;
            recorder.longestWait = std::max(recorder.longestWait, this->simulation.now() - sentAt);
            reply(outcome);
        }
    };
    const Error connectionLost{ErrorCode::PeerFailed, Step::Receive, {}, Executed::Unknown, std::nullopt, "the connection broke"};
    if (liveInstances.empty()) {
        this->simulation.after(connectionErrorDelay, [replyOnce, connectionLost]() {
            replyOnce(connectionLost);
        });
        return;
    }
    SimInstance *entry = liveInstances[static_cast<std::size_t>(this->simulation.between(0, 1000).count()) % liveInstances.size()];
    const InstanceId entryId = entry->id;
    this->simulation.after(networkDelay, [entry, entryId, command, replyOnce, connectionLost]() {
        if (entry->alive && entry->id == entryId) {
            entry->accept(command, replyOnce);
        } else {
            replyOnce(connectionLost);
        }
    });
    // The caller detects that the process of its entry instance ended, and stops waiting after replyTimeout.
    const auto watchdog = std::make_shared<std::function<void()>>();
    *watchdog = [this, entry, entryId, replyOnce, connectionLost, answered, sentAt, watchdog]() {
        if (*answered) {
            return;
        }
        if (entry->stoppedProcess == entryId) {
            this->simulation.recorder.violations.push_back("stop: a planned stop interrupted a request");
        }
        if (!entry->alive || entry->id != entryId || this->simulation.now() > sentAt + replyTimeout) {
            replyOnce(connectionLost);
            return;
        }
        this->simulation.after(processCheckInterval, *watchdog);
    };
    this->simulation.after(processCheckInterval, *watchdog);
}

void SimCaller::createProgram()
{
    SimCommand command;
    command.kind = SimCommand::Kind::Create;
    const Time now = this->simulation.now();
    command.spec
        = ProgramSpec{this->id, organisation, "round", this->id.ends_with('1') ? insufficientBudget : programBudget, 0, maxTurns, now, now + programLifetime};
    this->sendCommand(command, [this](const Result<CallAnswer> &outcome) {
        if (!outcome) {
            this->simulation.after(createRetryDelay, [this]() {
                this->createProgram();
            });
            return;
        }
        this->nextCall(this->mainCalls);
        // The sub-agent makes its two calls at the same time, so that they may arrive out of order.
        this->simulation.after(agentStartDelay, [this]() {
            this->nextCall(this->secondAgentCall);
            this->nextCall(this->firstAgentCall);
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

void SimCaller::nextCall(CallSeries &series)
{
    if (this->ending) {
        return;
    }
    if (series.sequence > series.lastSequence) {
        series.finished = true;
        if (this->mainCalls.finished && this->firstAgentCall.finished && this->secondAgentCall.finished) {
            this->ending = true;
            this->endProgram(0);
        }
        return;
    }
    const CallRequest request = this->requestAt(series.branch, series.sequence);
    // The caller's tool runs between two calls.
    this->simulation.after(this->simulation.between(1000, 80000), [this, &series, request]() {
        this->submit(series, request, 0);
    });
}

void SimCaller::submit(CallSeries &series, CallRequest request, int tries)
{
    if (tries > maxTries) {
        this->simulation.recorder.violations.push_back("progress: a caller retried " + std::to_string(maxTries)
                                                       + " times without success: " + request.requestId);
        this->endProgramEarly();
        return;
    }
    SimCommand command;
    command.kind = SimCommand::Kind::Call;
    command.submission = this->nextSubmission++;
    request.deadline = this->simulation.now() + callTimeout;
    command.request = request;
    this->latestRequest = request;
    const std::uint64_t submission = command.submission;
    this->sendCommand(command, [this, &series, request, submission, tries](const Result<CallAnswer> &outcome) {
        this->onReply(series, request, submission, tries, outcome);
    });
}

void SimCaller::duplicate()
{
    if (!this->latestRequest.requestId.empty() && !this->ending) {
        this->resubmit(this->latestRequest);
    }
}

void SimCaller::resubmit(const CallRequest &earlier)
{
    SimCommand command;
    command.kind = SimCommand::Kind::Call;
    command.submission = this->nextSubmission++;
    command.request = earlier;
    command.request.deadline = this->simulation.now() + callTimeout;
    const std::uint64_t submission = command.submission;
    const RequestId request = earlier.requestId;
    this->sendCommand(command, [this, submission, request](const Result<CallAnswer> &outcome) {
        Recorder &recorder = this->simulation.recorder;
        if (outcome) {
            recorder.answers.push_back(ReceivedAnswer{this->id, request, outcome.value().body, outcome.value().historyPending});
        } else if (outcome.error().executed == Executed::No) {
            recorder.notExecutedClaims.push_back(NotExecutedClaim{this->simulation.now(), request, submission, this->openSubmissions[request] > 0});
        }
    });
}

void SimCaller::onReply(CallSeries &series, const CallRequest &request, std::uint64_t submission, int tries, const Result<CallAnswer> &outcome)
{
    if (this->ending) {
        return;
    }
    Recorder &recorder = this->simulation.recorder;
    if (outcome) {
        recorder.answers.push_back(ReceivedAnswer{this->id, request.requestId, outcome.value().body, outcome.value().historyPending});
        series.sequence += 1;
        this->nextCall(series);
        return;
    }
    recorder.refused += 1;
    const Error &error = outcome.error();
    if (error.executed == Executed::No) {
        recorder.notExecutedClaims.push_back(
            NotExecutedClaim{this->simulation.now(), request.requestId, submission, this->openSubmissions[request.requestId] > 0});
    }
    if (error.code == ErrorCode::OutcomeUnknown && !request.repeatable) {
        series.sequence += 1;
        this->nextCall(series);
        return;
    }
    const bool final = error.code == ErrorCode::BudgetExhausted || error.code == ErrorCode::SequenceUsed || error.code == ErrorCode::ProgramEnded
        || error.code == ErrorCode::NotFound;
    if (final) {
        this->endProgramEarly();
        return;
    }
    if (error.code == ErrorCode::SequenceGap && request.sequence > 1) {
        // A turn that was answered while the journal was unavailable may be lost; the caller submits the earlier requests again.
        for (std::uint64_t sequence = 1; sequence < request.sequence; ++sequence) {
            this->resubmit(this->requestAt(request.branch, sequence));
        }
    }
    this->simulation.after(error.retryAfter.value_or(retryDelay), [this, &series, request, tries]() {
        this->submit(series, request, tries + 1);
    });
}

void SimCaller::endProgramEarly()
{
    if (!this->ending) {
        this->ending = true;
        this->endProgram(0);
    }
}

void SimCaller::endProgram(int tries)
{
    SimCommand command;
    command.kind = SimCommand::Kind::End;
    command.request.program = this->id;
    command.request.organisation = organisation;
    this->sendCommand(command, [this, tries](const Result<CallAnswer> &outcome) {
        if (outcome) {
            this->done = true;
            this->simulation.recorder.endedPrograms.insert(this->id);
        } else if (tries < maxTries) {
            this->simulation.after(retryDelay, [this, tries]() {
                this->endProgram(tries + 1);
            });
        }
    });
}

} // namespace oleandergate::fault
