#include "gateway/streamnews.h"

#include "wire/codec.h"

namespace oleandergate {

namespace {

//! Streams in one report, which then fits into one packet: few differ in service and version.
constexpr std::size_t streamsPerReport = 96;

} // namespace

StreamNews::StreamNews(InstanceId self)
    : self(std::move(self))
{
}

void StreamNews::tell(std::uint64_t stream, StreamOrigin origin)
{
    const std::lock_guard lock(this->mutex);
    this->told.tell(stream, std::move(origin));
}

std::optional<StreamOrigin> StreamNews::find(std::uint64_t stream) const
{
    const std::lock_guard lock(this->mutex);
    return this->told.find(stream);
}

std::vector<StreamOrigin> StreamNews::findAll(std::uint64_t stream) const
{
    const std::lock_guard lock(this->mutex);
    return this->told.findAll(stream);
}

void StreamNews::expire(Time before)
{
    const std::lock_guard lock(this->mutex);
    this->told.expire(before);
}

NewsChannel StreamNews::channel()
{
    return NewsChannel{[this](Time /*now*/) {
                           return this->nextReport();
                       },
                       [this]() {
                           const std::lock_guard lock(this->mutex);
                           return this->told.hasQueued();
                       },
                       [this](const std::string &payload, Time now) {
                           return this->onPayload(payload, now);
                       }};
}

std::string StreamNews::nextReport()
{
    const std::lock_guard lock(this->mutex);
    return this->told.hasQueued() ? encodeStreamReport(StreamReport{this->self, this->told.takeQueued(streamsPerReport)}) : std::string();
}

bool StreamNews::onPayload(const std::string &payload, Time now)
{
    const Result<StreamReport> report = decodeStreamReport(payload);
    if (!report) {
        return false;
    }
    const std::lock_guard lock(this->mutex);
    for (const ToldStreams::Group &group : report.value().groups) {
        this->told.onTold(group, now);
    }
    return true;
}

} // namespace oleandergate
