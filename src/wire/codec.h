#ifndef OLEANDERGATE_WIRE_CODEC_H
#define OLEANDERGATE_WIRE_CODEC_H

#include "decision/error.h"
#include "decision/journalentry.h"
#include "decision/programstate.h"
#include "wire/assignmentreport.h"
#include "wire/crashreport.h"
#include "wire/leavingreport.h"
#include "wire/loadreport.h"
#include "wire/memberreport.h"
#include "wire/peermessage.h"
#include "wire/ratelimitreport.h"
#include "wire/reachreport.h"
#include "wire/streamreport.h"

#include <string>
#include <string_view>
#include <vector>

namespace oleandergate {

//! One record of a slot's journal, as stored in the key-value service.
struct LogRecord
{
    std::string identity{}; //!< Identifier of the commit batch that wrote it.
    std::vector<JournalEntry> entries{};
};

//! Encodes and decodes with cereal's portable binary format; stored records (LogRecord, programs) are also compressed with zstd.
//! Decoding fails with ErrorCode::Internal on malformed bytes.
std::string encodePeerMessage(const PeerMessage &message);
Result<PeerMessage> decodePeerMessage(const std::string &bytes);

std::string encodeHeartbeat(const Heartbeat &heartbeat);
Result<Heartbeat> decodeHeartbeat(const std::string &bytes);

//! Returns whether \p bytes are marked as a report of another kind than a load report.
bool hasReportMark(std::string_view bytes);

std::string encodeLoadReport(const LoadReport &report);
Result<LoadReport> decodeLoadReport(const std::string &bytes);

//! Crash reports begin with a byte that no other message begins with, so that instances which do not know them ignore them.
std::string encodeCrashReport(const CrashReport &report);
Result<CrashReport> decodeCrashReport(const std::string &bytes);

std::string encodeRateLimitReport(const RateLimitReport &report);
Result<RateLimitReport> decodeRateLimitReport(const std::string &bytes);

std::string encodeReachReport(const ReachReport &report);
Result<ReachReport> decodeReachReport(const std::string &bytes);

std::string encodeMemberReport(const MemberReport &report);
Result<MemberReport> decodeMemberReport(const std::string &bytes);
std::string encodeLeavingReport(const LeavingReport &report);
Result<LeavingReport> decodeLeavingReport(const std::string &bytes);

std::string encodeAssignmentReport(const AssignmentReport &report);
Result<AssignmentReport> decodeAssignmentReport(const std::string &bytes);

std::string encodeStreamReport(const StreamReport &report);
Result<StreamReport> decodeStreamReport(const std::string &bytes);

std::string encodeLogRecord(const LogRecord &record);
Result<LogRecord> decodeLogRecord(const std::string &bytes);

std::string encodePrograms(const std::vector<ProgramState> &programs);
Result<std::vector<ProgramState>> decodePrograms(const std::string &bytes);

} // namespace oleandergate

#endif
