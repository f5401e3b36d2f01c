#include "wire/codec.h"

// cereal provides archives with user data only when this macro is defined.
#define CEREAL_FUTURE_EXPERIMENTAL
#include <cereal/archives/adapters.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <zstd.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <streambuf>
#include <string_view>

namespace oleandergate {

namespace {

//! Maximum size of a list or string in a message: the length of the message, as each element takes at least one byte.
struct SizeLimit
{
    std::size_t bytes = 0;
};

} // namespace

} // namespace oleandergate

namespace cereal {

//! Reads the size of a list or string. Overload resolution prefers this to cereal's own function, which allocates whatever a corrupted size says.
template <class Size>
void serialize(PortableBinaryInputArchive &archive, SizeTag<Size> &tag)
{
    archive(tag.size);
    if (tag.size > get_user_data<oleandergate::SizeLimit>(archive).bytes) {
        throw Exception("the size of a list or string exceeds the message");
    }
}

} // namespace cereal

namespace oleandergate {

template <class Archive>
void serialize(Archive &archive, Error &value)
{
    archive(value.code, value.step, value.peer, value.executed, value.retryAfter, value.detail);
}

template <class Archive>
void serialize(Archive &archive, CallRequest &value)
{
    archive(value.requestId, value.program, value.organisation, value.branch, value.sequence, value.kind, value.repeatable, value.target, value.path);
    archive(value.body, value.messages, value.digest, value.streaming, value.promptTokens, value.maxTokens, value.reserve, value.deadline);
}

template <class Archive>
void serialize(Archive &archive, CallAnswer &value)
{
    archive(value.status,
            value.contentType,
            value.body,
            value.endpoint,
            value.promptTokens,
            value.completionTokens,
            value.cost,
            value.replayed,
            value.historyPending);
}

template <class Archive>
void serialize(Archive &archive, ProgramSpec &value)
{
    archive(value.id, value.organisation, value.kind, value.budget, value.priority, value.maxTurns, value.created, value.deadline);
}

template <class Archive>
void serialize(Archive &archive, TurnRecord &value)
{
    archive(value.requestId, value.branch, value.sequence, value.digest, value.kind, value.target, value.keptMessages, value.newMessages);
    archive(value.executed, value.answer, value.chain);
}

template <class Archive>
void serialize(Archive &archive, ProgramCreated &value)
{
    archive(value.spec);
}

template <class Archive>
void serialize(Archive &archive, BudgetDrawn &value)
{
    archive(value.program, value.total);
}

template <class Archive>
void serialize(Archive &archive, CallIntent &value)
{
    archive(value.program, value.requestId, value.branch, value.sequence, value.digest, value.target, value.reserve);
}

template <class Archive>
void serialize(Archive &archive, IntentVoided &value)
{
    archive(value.program, value.requestId);
}

template <class Archive>
void serialize(Archive &archive, CallOutcome &value)
{
    archive(value.program, value.turn);
}

template <class Archive>
void serialize(Archive &archive, ProgramEnded &value)
{
    archive(value.program, value.phase, value.at);
}

template <class Archive>
void serialize(Archive &archive, OutcomeFound &value)
{
    archive(value.program, value.requestId, value.answer);
}

template <class Archive>
void serialize(Archive &archive, BranchState &value)
{
    archive(value.nextSequence, value.messageHashes, value.lastEndpoint);
}

template <class Archive>
void serialize(Archive &archive, ProgramState &value)
{
    archive(value.spec, value.phase, value.endedAt, value.drawn, value.spent, value.chain, value.turns, value.branches, value.openIntents, value.foundOutcomes);
}

template <class Archive>
void serialize(Archive &archive, LogRecord &value)
{
    archive(value.identity, value.entries);
}

template <class Archive>
void serialize(Archive &archive, CallCommand &value)
{
    archive(value.request);
}

template <class Archive>
void serialize(Archive &archive, CreateCommand &value)
{
    archive(value.spec);
}

template <class Archive>
void serialize(Archive &archive, EndCommand &value)
{
    archive(value.program, value.organisation, value.phase);
}

template <class Archive>
void serialize(Archive &archive, StatusQuery &value)
{
    archive(value.program, value.organisation, value.withHistory);
}

template <class Archive>
void serialize(Archive &archive, GoneQuery &value)
{
    archive(value.programs);
}

template <class Archive>
void serialize(Archive & /*archive*/, ConfigQuery & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, AnswerChunk &value)
{
    archive(value.text);
}

template <class Archive>
void serialize(Archive &archive, CallReply &value)
{
    archive(value.succeeded, value.answer, value.error);
}

template <class Archive>
void serialize(Archive &archive, TextReply &value)
{
    archive(value.succeeded, value.text, value.error);
}

template <class Archive>
void serialize(Archive &archive, GoneReply &value)
{
    archive(value.programs);
}

template <class Archive>
void serialize(Archive &archive, ConfigReply &value)
{
    archive(value.version, value.text, value.author);
}

template <class Archive>
void serialize(Archive &archive, Heartbeat &value)
{
    archive(value.instance, value.number, value.configVersion, value.serviceContactAge, value.leaving);
}

template <class Archive>
void serialize(Archive &archive, TurnRequest &value)
{
    archive(value.program, value.budget, value.turnTokens);
}

template <class Archive>
void serialize(Archive &archive, LedgerEntry &value)
{
    archive(value.program, value.left, value.recorded, value.revision, value.sawAllTurns);
}

template <class Archive>
void serialize(Archive &archive, BudgetRequest &value)
{
    archive(value.id, value.request);
}

template <class Archive>
void serialize(Archive &archive, BudgetReply &value)
{
    archive(value.decision);
}

template <class Archive>
void serialize(Archive &archive, BudgetSettlement &value)
{
    archive(value.id, value.program, value.used);
}

template <class Archive>
void serialize(Archive &archive, OpenGrant &value)
{
    archive(value.id, value.program, value.tokens);
}

template <class Archive>
void serialize(Archive &archive, BudgetReturn &value)
{
    archive(value.id, value.entries);
}

template <class Archive>
void serialize(Archive &archive, HandoverSlot &value)
{
    archive(value.slot, value.epoch, value.revision, value.unrecordedShareDelay);
}

template <class Archive>
void serialize(Archive &archive, BudgetHandover &value)
{
    archive(value.slots, value.entries, value.grants);
}

template <class Archive>
void serialize(Archive & /*archive*/, EndpointsQuery & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, EndpointEntry &value)
{
    archive(value.spec.id, value.spec.address, value.spec.domain, value.spec.slots, value.spec.leaving, value.service, value.startedAt);
}

//! Reads the software version of each entry. Returns false when the message ends before them.
template <class Archive>
bool readVersions(Archive &archive, std::vector<EndpointEntry> &entries)
{
    try {
        for (EndpointEntry &entry : entries) {
            archive(entry.spec.version);
        }
    } catch (const cereal::Exception &) {
        return false;
    }
    return true;
}

//! Reads the age at the end of a message; the highest one when the message ends before it.
template <class Archive>
std::uint64_t readAge(Archive &archive)
{
    std::uint64_t age = std::numeric_limits<std::uint64_t>::max();
    try {
        archive(age);
    } catch (const cereal::Exception &) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    return age;
}

template <class Archive>
void serialize(Archive &archive, EndpointsReply &value)
{
    archive(value.revision, value.trustsRemovals, value.entries);
    // Behind everything that earlier builds know: they ignore what follows, and send nothing here.
    if constexpr (Archive::is_saving::value) {
        for (EndpointEntry &entry : value.entries) {
            archive(entry.spec.version);
        }
    } else {
        value.hasVersions = readVersions(archive, value.entries);
    }
}

template <class Archive>
void serialize(Archive & /*archive*/, VersionRecordsQuery & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, HandedVersionRecord &value)
{
    archive(value.key, value.value, value.revision);
}

template <class Archive>
void serialize(Archive &archive, VersionRecordsReply &value)
{
    archive(value.isKnown, value.revision, value.records);
    // Earlier builds ignore it, and do not send it.
    if constexpr (Archive::is_saving::value) {
        archive(value.confirmedAge);
    } else {
        value.confirmedAge = readAge(archive);
    }
}

template <class Archive>
void serialize(Archive &archive, StreamOriginQuery &value)
{
    archive(value.attempt, value.request);
}

template <class Archive>
void serialize(Archive &archive, StreamOriginReply &value)
{
    archive(value.origins);
}

template <class Archive>
void serialize(Archive &archive, EndpointLoad &value)
{
    archive(value.endpoint, value.calls);
}

template <class Archive>
void serialize(Archive &archive, LoadReport &value)
{
    archive(value.instance, value.address, value.domain, value.number, value.configVersion, value.serviceContactAge);
    archive(value.endpointDigest, value.endpointRevision, value.leaving, value.ownedBudgetSlots, value.loads, value.peers);
    // Earlier builds ignore it, and do not send it.
    if constexpr (Archive::is_saving::value) {
        archive(value.serviceAvailableAge);
    } else {
        value.serviceAvailableAge = readAge(archive);
    }
}

template <class Archive>
void serialize(Archive &archive, ReportedCrashRecord &value)
{
    archive(value.request, value.crashes, value.crashAge, value.completionAge);
}

template <class Archive>
void serialize(Archive &archive, SuspectRun &value)
{
    archive(value.request, value.endpoint, value.isolated);
}

template <class Archive>
void serialize(Archive &archive, CrashReport &value)
{
    archive(value.instance, value.records, value.runs);
}

template <class Archive>
void serialize(Archive &archive, PermitRequest &value)
{
    archive(value.endpoint, value.callsPerSecond, value.limitAge);
}

template <class Archive>
void serialize(Archive &archive, PermitReply &value)
{
    archive(value.granted, value.retryAfter);
}

template <class Archive>
void serialize(Archive &archive, AllowanceQuery &value)
{
    AllowanceRequest &request = value.request;
    AllowanceCall &call = request.call;
    archive(call.organisation, call.allowance.callsPerSecond, call.allowance.burst, call.configVersion, call.program);
    archive(request.instance, request.used, request.reserve, request.callsPerSecond);
}

template <class Archive>
void serialize(Archive &archive, AllowanceReply &value)
{
    AllowanceDecision &decision = value.decision;
    archive(decision.granted, decision.bound, decision.reserve, decision.lifetime, decision.retryAfter);
}

template <class Archive>
void serialize(Archive &archive, ReportedRateLimit &value)
{
    archive(value.endpoint, value.callsPerSecond, value.age);
}

template <class Archive>
void serialize(Archive &archive, RateLimitReport &value)
{
    archive(value.instance, value.limits);
}

template <class Archive>
void serialize(Archive &archive, TunnelRequest &value)
{
    archive(value.tunnel, value.instance, value.endpoint, value.timeout);
}

template <class Archive>
void serialize(Archive &archive, TunnelReply &value)
{
    archive(value.outcome);
}

template <class Archive>
void serialize(Archive &archive, ReachReport &value)
{
    archive(value.instance, value.isolated, value.cutOff, value.carried);
}

template <class Archive>
void serialize(Archive &archive, LeavingStatement &value)
{
    archive(value.endpoint, value.startedAt);
}

//! Writes a list of at most 255 bytes with a size of one byte: a datagram has room for few members with cereal's eight.
template <class Archive, class Bytes>
void saveShort(Archive &archive, const Bytes &value)
{
    const auto size = static_cast<std::uint8_t>(std::min<std::size_t>(value.size(), std::numeric_limits<std::uint8_t>::max()));
    archive(size, cereal::binary_data(value.data(), size));
}

template <class Archive, class Bytes>
void loadShort(Archive &archive, Bytes &value)
{
    std::uint8_t size = 0;
    archive(size);
    value.resize(size);
    archive(cereal::binary_data(value.data(), size));
}

template <class Archive>
void save(Archive &archive, const ReportedMember &value)
{
    saveShort(archive, value.instance);
    saveShort(archive, value.address);
    saveShort(archive, value.domain);
    saveShort(archive, value.ownedBudgetSlots);
    archive(value.leaving, value.number, value.age);
}

template <class Archive>
void load(Archive &archive, ReportedMember &value)
{
    loadShort(archive, value.instance);
    loadShort(archive, value.address);
    loadShort(archive, value.domain);
    loadShort(archive, value.ownedBudgetSlots);
    archive(value.leaving, value.number, value.age);
}

template <class Archive>
void serialize(Archive &archive, ReportedAge &value)
{
    archive(value.member, value.age);
}

template <class Archive>
void serialize(Archive &archive, MemberReport &value)
{
    archive(value.members, value.ages);
}

template <class Archive>
void serialize(Archive &archive, LeavingReport &value)
{
    archive(value.instance, value.endpoints);
}

template <class Archive>
void serialize(Archive &archive, AssignmentReport &value)
{
    // Earlier builds ignore what follows the revision.
    archive(value.instance, value.revision, value.confirmedAge, value.madeAt);
}

//! As earlier builds send it.
struct FormerAssignmentReport
{
    InstanceId instance{};
    std::uint64_t revision = 0;
};

template <class Archive>
void serialize(Archive &archive, FormerAssignmentReport &value)
{
    archive(value.instance, value.revision);
}

template <class Archive>
void serialize(Archive &archive, StreamOrigin &value)
{
    archive(value.service, value.version);
}

template <class Archive>
void serialize(Archive &archive, ToldStreams::Group &value)
{
    archive(value.origin, value.streams);
}

template <class Archive>
void serialize(Archive &archive, StreamReport &value)
{
    archive(value.instance, value.groups);
}

namespace {

constexpr int compressionLevel = 3;

//! First bytes of the reports that not every build knows. Other messages begin with cereal's byte order, 0 or 1.
constexpr char crashReportMark = '\x7f';
constexpr char rateLimitReportMark = '\x7e';
constexpr char reachReportMark = '\x7d';
constexpr char leavingReportMark = '\x7c';
constexpr char memberReportMark = '\x7b';
constexpr char assignmentReportMark = '\x7a';
constexpr char streamReportMark = '\x79'; //!< The lowest one.

//! Longest record that is decompressed, in bytes; protects against a corrupted size field.
constexpr unsigned long long maxRecordBytes = 256ULL * 1024 * 1024;

template <class Value>
std::string encode(const Value &value)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return out.str();
}

//! Reads bytes in place; a string stream would copy them first.
class ByteReader : public std::streambuf
{
public:
    explicit ByteReader(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast): nothing is written
        this->setg(begin, begin, begin + bytes.size());
    }
};

template <class Value>
Result<Value> decode(std::string_view bytes)
{
    const auto malformed = [](const char *detail) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, std::string("malformed message: ") + detail};
    };
    Value value{};
    try {
        ByteReader reader(bytes);
        std::istream in(&reader);
        SizeLimit limit{bytes.size()};
        cereal::UserDataAdapter<SizeLimit, cereal::PortableBinaryInputArchive> archive(limit, in);
        archive(value);
    } catch (const cereal::Exception &error) {
        return malformed(error.what());
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
    return value;
}

std::string compress(const std::string &bytes)
{
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compressionLevel);
    compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return compressed;
}

Result<std::string> decompress(const std::string &compressed)
{
    const Error malformed{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "malformed compressed record"};
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxRecordBytes) {
        return malformed;
    }
    std::string bytes(size, '\0');
    const std::size_t written = ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return malformed;
    }
    return bytes;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return encode(message);
}

Result<PeerMessage> decodePeerMessage(const std::string &bytes)
{
    return decode<PeerMessage>(bytes);
}

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    return encode(heartbeat);
}

Result<Heartbeat> decodeHeartbeat(const std::string &bytes)
{
    return decode<Heartbeat>(bytes);
}

bool hasReportMark(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() >= streamReportMark;
}

std::string encodeLoadReport(const LoadReport &report)
{
    return encode(report);
}

Result<LoadReport> decodeLoadReport(const std::string &bytes)
{
    return decode<LoadReport>(bytes);
}

std::string encodeCrashReport(const CrashReport &report)
{
    return crashReportMark + encode(report);
}

Result<CrashReport> decodeCrashReport(const std::string &bytes)
{
    if (!bytes.starts_with(crashReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a crash report"};
    }
    return decode<CrashReport>(std::string_view(bytes).substr(1));
}

std::string encodeRateLimitReport(const RateLimitReport &report)
{
    return rateLimitReportMark + encode(report);
}

Result<RateLimitReport> decodeRateLimitReport(const std::string &bytes)
{
    if (!bytes.starts_with(rateLimitReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a rate limit report"};
    }
    return decode<RateLimitReport>(std::string_view(bytes).substr(1));
}

std::string encodeReachReport(const ReachReport &report)
{
    return reachReportMark + encode(report);
}

Result<ReachReport> decodeReachReport(const std::string &bytes)
{
    if (!bytes.starts_with(reachReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a report of reached endpoints"};
    }
    return decode<ReachReport>(std::string_view(bytes).substr(1));
}

std::string encodeLeavingReport(const LeavingReport &report)
{
    return leavingReportMark + encode(report);
}

Result<LeavingReport> decodeLeavingReport(const std::string &bytes)
{
    if (!bytes.starts_with(leavingReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a report of leaving endpoints"};
    }
    return decode<LeavingReport>(std::string_view(bytes).substr(1));
}

std::string encodeAssignmentReport(const AssignmentReport &report)
{
    return assignmentReportMark + encode(report);
}

Result<AssignmentReport> decodeAssignmentReport(const std::string &bytes)
{
    if (!bytes.starts_with(assignmentReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a report of assignments"};
    }
    const std::string_view content = std::string_view(bytes).substr(1);
    Result<AssignmentReport> report = decode<AssignmentReport>(content);
    if (report) {
        return report;
    }
    const Result<FormerAssignmentReport> former = decode<FormerAssignmentReport>(content);
    if (former && encode(former.value()).size() == content.size()) {
        return AssignmentReport{former.value().instance, former.value().revision};
    }
    return report;
}

std::string encodeStreamReport(const StreamReport &report)
{
    return streamReportMark + encode(report);
}

Result<StreamReport> decodeStreamReport(const std::string &bytes)
{
    if (!bytes.starts_with(streamReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a report of streams"};
    }
    return decode<StreamReport>(std::string_view(bytes).substr(1));
}

std::string encodeMemberReport(const MemberReport &report)
{
    return memberReportMark + encode(report);
}

Result<MemberReport> decodeMemberReport(const std::string &bytes)
{
    if (!bytes.starts_with(memberReportMark)) {
        return Error{ErrorCode::Internal, Step::Parse, {}, Executed::Unknown, std::nullopt, "not a report of members"};
    }
    return decode<MemberReport>(std::string_view(bytes).substr(1));
}

std::string encodeLogRecord(const LogRecord &record)
{
    return compress(encode(record));
}

Result<LogRecord> decodeLogRecord(const std::string &bytes)
{
    const Result<std::string> plain = decompress(bytes);
    if (!plain) {
        return plain.error();
    }
    return decode<LogRecord>(plain.value());
}

std::string encodePrograms(const std::vector<ProgramState> &programs)
{
    return compress(encode(programs));
}

Result<std::vector<ProgramState>> decodePrograms(const std::string &bytes)
{
    const Result<std::string> plain = decompress(bytes);
    if (!plain) {
        return plain.error();
    }
    Result<std::vector<ProgramState>> programs = decode<std::vector<ProgramState>>(plain.value());
    if (programs) {
        for (ProgramState &program : programs.value()) {
            program.rebuildIndex();
        }
    }
    return programs;
}

} // namespace oleandergate
