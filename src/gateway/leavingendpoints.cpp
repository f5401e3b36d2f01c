#include "gateway/leavingendpoints.h"

#include "runtime/log.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

namespace oleandergate {

namespace {

//! Statements in a datagram.
constexpr std::size_t statementsPerReport = 24;

void logStatement(const LeavingStatement &statement, const std::string &source)
{
    logRecord(LogLevel::Info,
              "endpoints",
              "an endpoint states that it is leaving",
              {{"endpoint", statement.endpoint}, {"started_at", std::to_string(statement.startedAt)}, {"source", source}});
}

} // namespace

LeavingEndpoints::LeavingEndpoints(PoolSet &pools, Metrics &metrics, InstanceId self, std::function<void()> onNews)
    : pools(pools)
    , self(std::move(self))
    , onNews(std::move(onNews))
    , stated(metrics.counter("oleandergate_endpoints_stated_leaving_total"))
{
}

void LeavingEndpoints::onAnswer(const EndpointSpec &endpoint, const AnswerMetadata &metadata, Time now)
{
    if (!metadata.leaving) {
        return;
    }
    const std::optional<LeavingStatement> added = this->pools.addLeaving(endpoint.id, now);
    if (added) {
        this->stated.add();
        logStatement(*added, "answer");
        this->onNews();
    }
}

NewsChannel LeavingEndpoints::channel()
{
    return NewsChannel{[this](Time /*now*/) {
                           LeavingReport report;
                           report.instance = this->self;
                           report.endpoints = this->pools.nextLeavingReport(statementsPerReport);
                           return report.endpoints.empty() ? std::string() : encodeLeavingReport(report);
                       },
                       [this]() {
                           return this->pools.hasLeavingNews();
                       },
                       [this](const std::string &payload, Time now) {
                           return this->onPayload(payload, now);
                       }};
}

bool LeavingEndpoints::onPayload(const std::string &payload, Time now)
{
    const Result<LeavingReport> report = decodeLeavingReport(payload);
    if (!report) {
        return false;
    }
    bool changed = false;
    for (const LeavingStatement &statement : report.value().endpoints) {
        if (this->pools.addLeaving(statement, now)) {
            logStatement(statement, report.value().instance);
            changed = true;
        }
    }
    if (changed) {
        this->onNews();
    }
    return true;
}

} // namespace oleandergate
