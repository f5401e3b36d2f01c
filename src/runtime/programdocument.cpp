#include "runtime/programdocument.h"

#include "runtime/clock.h"

#include <boost/json.hpp>

#include <array>

namespace oleandergate {

namespace json = boost::json;

namespace {

constexpr MicroUnits microUnitsPerUnit = 1000000;
constexpr int statusInternalServerError = 500;

//! HTTP status of one error code.
struct CodeStatus
{
    ErrorCode code;
    int status;
};

constexpr std::array<CodeStatus, static_cast<std::size_t>(ErrorCode::Count)> codeStatuses{{
    {ErrorCode::BadRequest, 400},         {ErrorCode::Unauthorised, 401},         {ErrorCode::NotFound, 404},           {ErrorCode::TooLarge, 413},
    {ErrorCode::NotOwner, 503},           {ErrorCode::SlotMoving, 503},           {ErrorCode::ProgramEnded, 409},       {ErrorCode::ProgramExpired, 409},
    {ErrorCode::KeyReused, 422},          {ErrorCode::SequenceUsed, 409},         {ErrorCode::SequenceGap, 409},        {ErrorCode::TurnLimit, 429},
    {ErrorCode::BudgetExhausted, 402},    {ErrorCode::DeadlineExceeded, 504},     {ErrorCode::Overloaded, 429},         {ErrorCode::PeakReached, 429},
    {ErrorCode::ServiceUnavailable, 503}, {ErrorCode::NoEndpoint, 503},           {ErrorCode::CrashesEndpoints, 503},   {ErrorCode::VersionUnknown, 503},
    {ErrorCode::EndpointFailed, 502},     {ErrorCode::EndpointGarbled, 502},      {ErrorCode::OutcomeUnknown, 502},     {ErrorCode::Cancelled, 409},
    {ErrorCode::Conflict, 409},           {ErrorCode::InvalidConfiguration, 400}, {ErrorCode::PeerFailed, 503},         {ErrorCode::Timeout, 504},
    {ErrorCode::Internal, 500},           {ErrorCode::NotResumable, 503},         {ErrorCode::AllowanceExhausted, 429},
}};

json::object describe(const TurnRecord &turn)
{
    json::array messages;
    for (const std::string &message : turn.newMessages) {
        messages.push_back(json::string(message));
    }
    return json::object{
        {"request", turn.requestId},
        {"branch", turn.branch},
        {"sequence", turn.sequence},
        {"kind", nameIn(callKindNames, turn.kind)},
        {"target", turn.target},
        {"kept_messages", turn.keptMessages},
        {"new_messages", messages},
        {"ran", executedName(turn.executed)},
        {"status", turn.answer.status},
        {"answer", turn.answer.body},
        {"endpoint", turn.answer.endpoint},
        {"cost", formatMoney(turn.answer.cost)},
    };
}

json::object describe(const ProgramState &state)
{
    json::object branches;
    for (const auto &[name, branch] : state.branches) {
        branches[name] = branch.nextSequence;
    }
    return json::object{
        {"id", state.spec.id},
        {"organisation", state.spec.organisation},
        {"kind", state.spec.kind},
        {"phase", nameIn(programPhaseNames, state.phase)},
        {"budget", formatMoney(state.spec.budget)},
        {"spent", formatMoney(state.spent)},
        {"turns", state.turns.size()},
        {"max_turns", state.spec.maxTurns},
        {"created", formatTime(state.spec.created)},
        {"deadline", formatTime(state.spec.deadline)},
        {"next_sequence", branches},
        {"open_intents", state.openIntents.size()},
        {"history_intact", state.isChainIntact()},
    };
}

} // namespace

std::string formatMoney(MicroUnits amount)
{
    const std::string fraction = std::to_string(microUnitsPerUnit + amount % microUnitsPerUnit).substr(1);
    return std::to_string(amount / microUnitsPerUnit) + "." + fraction;
}

std::string describeProgram(const ProgramState &state, bool withHistory)
{
    json::object object = describe(state);
    if (withHistory) {
        json::array turns;
        for (const TurnRecord &turn : state.turns) {
            turns.push_back(describe(turn));
        }
        object["history"] = turns;
    }
    return json::serialize(object);
}

std::string describePrograms(const std::vector<ProgramState> &states)
{
    json::array list;
    for (const ProgramState &state : states) {
        list.push_back(describe(state));
    }
    return json::serialize(list);
}

std::string describeError(const Error &error)
{
    json::object object{{"code", errorCodeName(error.code)},
                        {"message", error.detail},
                        {"step", stepName(error.step)},
                        {"peer", error.peer},
                        {"ran", executedName(error.executed)}};
    if (error.retryAfter) {
        object["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*error.retryAfter).count();
    }
    return json::serialize(json::object{{"error", object}});
}

int httpStatusOf(const Error &error)
{
    for (const CodeStatus &row : codeStatuses) {
        if (row.code == error.code) {
            return row.status;
        }
    }
    return statusInternalServerError;
}

} // namespace oleandergate
