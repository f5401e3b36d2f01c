#include "runtime/journalstore.h"

#include "backing/interfaces/keyvalueservice.h"
#include "runtime/storekeys.h"
#include "wire/codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

//! The key-value service takes values of up to a megabyte, and base64 and JSON enlarge them in transit.
constexpr std::size_t checkpointPartBytes = 512 * 1024;

//! Limit on the deletions of one transaction, since the key-value service bounds its number of operations.
constexpr std::size_t maxTransactionOperations = 100;

//! Keys read per log record when a write is rejected: the slot's record and the log record.
constexpr std::size_t keysPerRecord = 2;

//! Record that names the current checkpoint of a slot.
struct CheckpointHead
{
    std::uint64_t generation = 0;
    std::uint64_t parts = 0;
    std::uint64_t nextNumber = 1;
};

std::string serializeHead(const CheckpointHead &head)
{
    return json::serialize(json::object{{"generation", head.generation}, {"parts", head.parts}, {"next", head.nextNumber}});
}

CheckpointHead parseHead(const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    CheckpointHead head;
    if (!error && value.is_object()) {
        const auto number = [&value](std::string_view key) {
            const json::value *found = value.get_object().if_contains(key);
            return found != nullptr && found->is_int64() ? static_cast<std::uint64_t>(found->get_int64()) : 0;
        };
        head = CheckpointHead{number("generation"), number("parts"), number("next")};
    }
    return head;
}

Error corruptJournalError(SlotId slot, const std::string &detail)
{
    return Error{ErrorCode::Internal, Step::SlotRecover, journalPrefix(slot), Executed::Unknown, std::nullopt, detail};
}

void applyEntry(std::map<ProgramId, ProgramState> &programs, const JournalEntry &entry)
{
    if (const auto *created = std::get_if<ProgramCreated>(&entry)) {
        programs.emplace(created->spec.id, ProgramState(created->spec));
        return;
    }
    const auto program = programs.find(programOf(entry));
    if (program != programs.end()) {
        program->second.apply(entry);
    }
}

} // namespace

JournalStore::JournalStore(KeyValueService &service)
    : service(service)
{
}

asio::awaitable<BatchResult> JournalStore::write(CommitBatch batch)
{
    KvTransaction transaction;
    transaction.hasOwnValues = true; // By the batch's identity.
    for (const SlotLogRecord &record : batch.records) {
        const std::string slot = slotKey(record.slot);
        const std::string log = journalEntryKey(record.slot, record.number);
        transaction.compares.push_back(KvCompare{slot, record.slotRevision});
        transaction.compares.push_back(KvCompare{log, 0});
        transaction.puts.push_back(KvPut{log, encodeLogRecord(LogRecord{batch.identity, record.entries})});
        transaction.elseKeys.push_back(slot);
        transaction.elseKeys.push_back(log);
    }
    Result<KvTransactionReply> reply = co_await this->service.transact(std::move(transaction));
    BatchResult result;
    if (!reply) {
        result.kind = BatchResult::Kind::Unknown;
        co_return result;
    }
    if (reply.value().succeeded) {
        result.kind = BatchResult::Kind::Applied;
        co_return result;
    }
    const std::vector<KvPair> &found = reply.value().found;
    if (found.size() != keysPerRecord * batch.records.size()) {
        result.kind = BatchResult::Kind::Unknown;
        co_return result;
    }
    result.kind = BatchResult::Kind::Rejected;
    for (std::size_t index = 0; index < batch.records.size(); ++index) {
        BatchResult::ObservedSlot observedSlot;
        observedSlot.slotRevision = found[keysPerRecord * index].revision;
        const KvPair &log = found[keysPerRecord * index + 1];
        if (log.revision != 0) {
            const Result<LogRecord> record = decodeLogRecord(log.value);
            observedSlot.logIdentity = record ? record.value().identity : "unreadable";
        }
        result.observedSlots[batch.records[index].slot] = observedSlot;
    }
    co_return result;
}

asio::awaitable<Result<RecoveredSlot>> JournalStore::recover(SlotId slot, std::uint64_t revision)
{
    const Result<KvRange> record = co_await this->service.range(slotKey(slot));
    if (!record) {
        co_return record.error();
    }
    if (record.value().pairs.empty() || record.value().pairs.front().revision != revision) {
        co_return Error{ErrorCode::NotOwner, Step::SlotRecover, slotKey(slot), Executed::No, std::nullopt, "the slot has a new owner"};
    }
    Result<KvRange> checkpoint = co_await this->service.range(checkpointPrefix(slot));
    if (!checkpoint) {
        co_return checkpoint.error();
    }
    Result<KvRange> log = co_await this->service.range(journalPrefix(slot));
    if (!log) {
        co_return log.error();
    }
    CheckpointHead head;
    for (const KvPair &pair : checkpoint.value().pairs) {
        if (pair.key == checkpointHeadKey(slot)) {
            head = parseHead(pair.value);
        }
    }
    std::string encoded;
    for (std::uint64_t part = 0; part < head.parts; ++part) {
        const std::string key = checkpointPartKey(slot, head.generation, part);
        const auto found = std::find_if(checkpoint.value().pairs.begin(), checkpoint.value().pairs.end(), [&key](const KvPair &pair) {
            return pair.key == key;
        });
        if (found == checkpoint.value().pairs.end()) {
            co_return corruptJournalError(slot, "a part of the checkpoint is missing");
        }
        encoded += found->value;
    }
    std::map<ProgramId, ProgramState> programs;
    if (head.parts > 0) {
        Result<std::vector<ProgramState>> stored = decodePrograms(encoded);
        if (!stored) {
            co_return stored.error();
        }
        for (ProgramState &program : stored.value()) {
            const ProgramId id = program.spec.id;
            programs.emplace(id, std::move(program));
        }
    }
    RecoveredSlot recovered;
    recovered.generation = head.generation;
    recovered.nextNumber = std::max<std::uint64_t>(1, head.nextNumber);
    for (const KvPair &pair : log.value().pairs) {
        const Result<LogRecord> record = decodeLogRecord(pair.value);
        if (!record) {
            co_return record.error();
        }
        recovered.nextNumber = std::max(recovered.nextNumber, trailingNumber(pair.key) + 1);
        for (const JournalEntry &entry : record.value().entries) {
            applyEntry(programs, entry);
        }
    }
    for (auto &[id, program] : programs) {
        if (!program.isChainIntact()) {
            co_return corruptJournalError(slot, "the history of program " + id + " does not follow its hash chain");
        }
        recovered.programs.push_back(std::move(program));
    }
    co_return recovered;
}

asio::awaitable<Result<void>> JournalStore::checkpoint(SlotId slot, std::uint64_t revision, RecoveredSlot state)
{
    const Result<KvRange> log = co_await this->service.range(journalPrefix(slot));
    if (!log) {
        co_return log.error();
    }
    const std::uint64_t generation = state.generation + 1;
    const std::string encoded = encodePrograms(state.programs);
    CheckpointHead head{generation, (encoded.size() + checkpointPartBytes - 1) / checkpointPartBytes, state.nextNumber};
    for (std::size_t part = 0; part < head.parts; ++part) {
        KvTransaction write;
        write.compares.push_back(KvCompare{slotKey(slot), revision});
        write.puts.push_back(KvPut{checkpointPartKey(slot, generation, part), encoded.substr(part * checkpointPartBytes, checkpointPartBytes)});
        const Result<KvTransactionReply> written = co_await this->service.transact(std::move(write));
        if (!written) {
            co_return written.error();
        }
        if (!written.value().succeeded) {
            co_return Error{ErrorCode::NotOwner, Step::SlotRecover, slotKey(slot), Executed::No, std::nullopt, "the slot has a new owner"};
        }
    }
    KvTransaction swap;
    swap.compares.push_back(KvCompare{slotKey(slot), revision});
    swap.puts.push_back(KvPut{checkpointHeadKey(slot), serializeHead(head)});
    if (state.generation > 0) {
        const std::string firstPart = checkpointPartKey(slot, state.generation, 0);
        swap.deletes.push_back(KvDelete{firstPart.substr(0, firstPart.rfind('/') + 1), true});
    }
    for (const KvPair &pair : log.value().pairs) {
        if (trailingNumber(pair.key) < state.nextNumber && swap.deletes.size() < maxTransactionOperations) {
            swap.deletes.push_back(KvDelete{pair.key, false});
        }
    }
    const Result<KvTransactionReply> swapped = co_await this->service.transact(std::move(swap));
    if (!swapped) {
        co_return swapped.error();
    }
    co_return boost::outcome_v2::success();
}

} // namespace oleandergate
