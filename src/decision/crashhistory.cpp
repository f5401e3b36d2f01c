#include "decision/crashhistory.h"

namespace oleandergate {

CrashHistory::CrashHistory(std::size_t maxRecords)
    : maxRecords(maxRecords)
{
}

RunAdmission CrashHistory::admit(RequestFingerprint /*request*/, Time /*now*/) const
{
    return {};
}

void CrashHistory::onStarted(RequestFingerprint /*request*/, std::uint32_t /*endpoint*/, Time /*now*/)
{
}

std::uint32_t CrashHistory::onCrashed(RequestFingerprint /*request*/, std::uint32_t /*endpoint*/, Time /*startedAt*/, Time /*now*/)
{
    return 0;
}

bool CrashHistory::onCompleted(RequestFingerprint /*request*/, std::uint32_t /*endpoint*/, Time /*now*/)
{
    return false;
}

void CrashHistory::onAbandoned(RequestFingerprint /*request*/, std::uint32_t /*endpoint*/)
{
}

void CrashHistory::merge(const CrashRecord & /*record*/, Time /*now*/)
{
}

void CrashHistory::setRemoteRuns(const InstanceId & /*instance*/, const std::vector<SuspectRun> & /*runs*/, Time /*now*/)
{
}

std::vector<CrashRecord> CrashHistory::nextReport(std::size_t /*count*/)
{
    return {};
}

bool CrashHistory::hasNews() const
{
    return false;
}

std::vector<SuspectRun> CrashHistory::suspectRuns(std::size_t /*count*/) const
{
    return {};
}

std::set<std::uint32_t> CrashHistory::isolatedEndpoints(Time /*now*/) const
{
    return {};
}

void CrashHistory::expire(Time /*now*/)
{
}

std::size_t CrashHistory::recordCount() const
{
    return 0;
}

} // namespace oleandergate
