#include "backing/base64.h"
#include "decision/peertable.h"
#include "runtime/chatdocument.h"
#include "runtime/enginestream.h"
#include "wire/codec.h"
#include "wire/messageauth.h"

#include <doctest/doctest.h>

#include <limits>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <random>

using namespace oleandergate;

TEST_CASE("Messages and records are unchanged after encoding and decoding")
{
    CallRequest request;
    request.requestId = "r";
    request.messages = {"a", "b"};
    request.deadline = Time(Duration(123456789));
    const auto message = decodePeerMessage(encodePeerMessage(CallCommand{request}));
    REQUIRE(message);
    const auto *call = std::get_if<CallCommand>(&message.value());
    REQUIRE(call != nullptr);
    CHECK(call->request.messages == request.messages);
    CHECK(call->request.deadline == request.deadline);

    ProgramState state(ProgramSpec{"p", "org", "kind", 100});
    TurnRecord turn;
    turn.requestId = "r1";
    turn.sequence = 1;
    turn.answer.body = "answer";
    turn = state.makeTurn(turn, {"question"});
    REQUIRE(state.apply(CallOutcome{"p", turn}));
    const auto programs = decodePrograms(encodePrograms({state}));
    REQUIRE(programs);
    REQUIRE(programs.value().size() == 1);
    CHECK(programs.value().front().isChainIntact());
    REQUIRE(programs.value().front().findTurn("r1") != nullptr);
    CHECK(programs.value().front().findTurn("r1")->answer.body == "answer");
    CHECK(programs.value().front().conversationOf(turn) == std::vector<std::string>{"question"});
}

TEST_CASE("Corrupted records are rejected without a crash")
{
    LogRecord record{"w/1", {BudgetDrawn{"p", 5}}};
    const std::string good = encodeLogRecord(record);
    std::mt19937_64 random(3);
    for (int run = 0; run < 3000; ++run) {
        std::string bytes = good;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        const auto decoded = decodeLogRecord(bytes);
        if (decoded) {
            CHECK(decoded.value().entries.size() <= 1);
        }
        const auto heartbeat = decodeHeartbeat(bytes);
        CHECK((heartbeat.has_value() || !heartbeat.error().detail.empty()));
    }
}

TEST_CASE("A corrupted size is rejected before memory of that size is allocated")
{
    std::string bytes = encodeHeartbeat(Heartbeat{"a"});
    // The archive's first byte states its byte order; the length of the first string follows in eight bytes.
    constexpr std::size_t highestByteOfLength = 8;
    bytes[highestByteOfLength] = 1;
    const auto heartbeat = decodeHeartbeat(bytes);
    REQUIRE_FALSE(heartbeat.has_value());
    CHECK(heartbeat.error().detail.find("the size of a list or string exceeds the message") != std::string::npos);
}

TEST_CASE("An authentication code depends on the message, its context and the key")
{
    const MessageAuth auth("key of the instances");
    const std::string mac = auth.macOf("c1", "payload");
    CHECK(auth.verify("c1", "payload", mac));
    CHECK_FALSE(auth.verify("c2", "payload", mac));
    CHECK_FALSE(auth.verify("c1", "payloae", mac));
    CHECK_FALSE(MessageAuth("another key").verify("c1", "payload", mac));
    CHECK_FALSE(auth.verify("c1", "payload", ""));
}

// Guards against codes that instances of other builds refuse: the key is read once and kept, not read for each message.
TEST_CASE("An authentication code is HMAC-SHA-256 of the context's length, the context and the payload, with keys and messages of any length")
{
    std::mt19937_64 random(9);
    for (const std::size_t keySize : {1, 30, 63, 64, 65, 200}) {
        const std::string key = MessageAuth::randomBytes(keySize);
        const MessageAuth auth(key);
        for (int run = 0; run < 200; ++run) {
            const std::string context = MessageAuth::randomBytes(random() % 40);
            const std::string payload = MessageAuth::randomBytes(random() % 1400);
            std::string message = std::to_string(context.size()) + ":";
            message += context;
            message += payload;
            std::string expected(macSize, '\0');
            HMAC(EVP_sha256(),
                 key.data(),
                 static_cast<int>(key.size()),
                 reinterpret_cast<const unsigned char *>(message.data()),
                 message.size(),
                 reinterpret_cast<unsigned char *>(expected.data()),
                 nullptr);
            REQUIRE(auth.macOf(context, payload) == expected);
            REQUIRE(auth.verify(context, payload, expected));
        }
    }
}

TEST_CASE("Base64 encodes and decodes any bytes")
{
    std::mt19937_64 random(5);
    for (std::size_t size = 0; size < 70; ++size) {
        std::string bytes(size, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
    CHECK(fromBase64("*").empty());
}

TEST_CASE("An engine's stream is parsed correctly with any chunk boundaries")
{
    const std::string events
        = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"},\"finish_reason\":\"stop\"}],"
          "\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step < 40; ++step) {
        std::string text;
        EngineStream stream([&text](const std::string &chunk, Tokens) {
            text += chunk;
        });
        for (std::size_t at = 0; at < events.size(); at += step) {
            stream.feed(std::string_view(events).substr(at, step));
        }
        CHECK(text == "a b");
        CHECK(stream.isDone());
        CHECK_FALSE(stream.isMalformed());
        CHECK(stream.promptTokens() == 5);
        CHECK(stream.finishReason() == "stop");
    }
    EngineStream malformed([](const std::string &, Tokens) {});
    malformed.feed("data: nonsense\n");
    CHECK(malformed.isMalformed());
    EngineStream endless([](const std::string &, Tokens) {});
    endless.feed(std::string(2000000, 'x'));
    CHECK(endless.isMalformed());
}

// Guards against text that is passed on, and continued from, behind an event that is missing, and against the text of a second answer behind the first.
TEST_CASE("An engine's stream passes on nothing behind a malformed event, nor behind its end")
{
    const std::string first = R"(data: {"choices":[{"delta":{"content":"a"}}]})";
    const std::string second = R"(data: {"choices":[{"delta":{"content":"b"}}],"usage":{"prompt_tokens":7,"completion_tokens":9}})";
    for (const std::string between : {"data: [DONE]", "data: {\"choices\": [nonsense", "data: {\"usage\":{}}"}) {
        CAPTURE(between);
        std::string text;
        EngineStream stream([&text](const std::string &chunk, Tokens) {
            text += chunk;
        });
        for (const std::string &event : {first, between, second}) {
            stream.feed(event);
            stream.feed("\n\n");
        }
        CHECK(text == "a");
        CHECK(stream.promptTokens() == 0);
        CHECK(stream.completionTokens() == 1);
        CHECK(stream.isMalformed() == (between != "data: [DONE]"));
    }
    // An event without end counts as malformed too.
    std::string text;
    EngineStream stream([&text](const std::string &chunk, Tokens) {
        text += chunk;
    });
    stream.feed(first + "\n\n");
    stream.feed(std::string(2000000, 'x'));
    stream.feed("\n\n" + second + "\n\n");
    CHECK(text == "a");
    CHECK(stream.isMalformed());
}

TEST_CASE("Random chat bodies are parsed or rejected without a crash")
{
    const std::string good = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":9,"stream":true})";
    const auto read = parseChatRequest(good);
    REQUIRE(read);
    CHECK(read.value().maxTokens == 9);
    CHECK(read.value().streaming);
    std::mt19937_64 random(11);
    int refused = 0;
    for (int run = 0; run < 5000; ++run) {
        std::string body = good;
        for (int change = 0; change < 3; ++change) {
            body[random() % body.size()] = static_cast<char>(random() % 256);
        }
        const auto request = parseChatRequest(body);
        refused += request ? 0 : 1;
        CHECK((request.has_value() || request.error().executed == Executed::No));
    }
    CHECK(refused > 1000);
}

TEST_CASE("Crash reports keep their content, and neither they nor load reports are taken for the other")
{
    CrashReport report;
    report.instance = "front-1~5";
    report.records = {ReportedCrashRecord{0xfeedU, 3, 250, std::nullopt}, ReportedCrashRecord{7, 0, 90, 12}};
    report.runs = {SuspectRun{0xfeedU, 42, true}};
    const std::string bytes = encodeCrashReport(report);
    const Result<CrashReport> decoded = decodeCrashReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == report.instance);
    REQUIRE(decoded.value().records.size() == 2);
    CHECK(decoded.value().records[0].request == 0xfeedU);
    CHECK(decoded.value().records[0].crashes == 3);
    CHECK(decoded.value().records[0].crashAge == 250);
    CHECK_FALSE(decoded.value().records[0].completionAge);
    CHECK(decoded.value().records[1].completionAge == 12);
    REQUIRE(decoded.value().runs.size() == 1);
    CHECK(decoded.value().runs[0].endpoint == 42);
    CHECK(decoded.value().runs[0].isolated);
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeCrashReport(encodeLoadReport(LoadReport{"front-1~5", "10.0.0.1:90", "a"})));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeCrashReport(bytes.substr(0, size)));
    }
}

// Guards against reports that nobody reads: a receiver tries the other kinds only for datagrams that are marked.
TEST_CASE("All reports but load reports are marked")
{
    for (const std::string &bytes : {encodeCrashReport(CrashReport{}),
                                     encodeRateLimitReport(RateLimitReport{}),
                                     encodeReachReport(ReachReport{}),
                                     encodeLeavingReport(LeavingReport{}),
                                     encodeMemberReport(MemberReport{})}) {
        CHECK(hasReportMark(bytes));
        CHECK_FALSE(decodeLoadReport(bytes));
    }
    CHECK_FALSE(hasReportMark(encodeLoadReport(LoadReport{"front-1~5", "10.0.0.1:90", "a"})));
    CHECK_FALSE(hasReportMark(""));
}

TEST_CASE("Rate limit reports keep their content, and no other report is taken for one")
{
    RateLimitReport report;
    report.instance = "front-1~5";
    report.limits = {ReportedRateLimit{7, 8.5, 250}, ReportedRateLimit{9, std::nullopt, 3}};
    const std::string bytes = encodeRateLimitReport(report);
    const Result<RateLimitReport> decoded = decodeRateLimitReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == report.instance);
    REQUIRE(decoded.value().limits.size() == 2);
    CHECK(decoded.value().limits[0].endpoint == 7);
    CHECK(decoded.value().limits[0].callsPerSecond == 8.5);
    CHECK(decoded.value().limits[0].age == 250);
    CHECK_FALSE(decoded.value().limits[1].callsPerSecond);
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeCrashReport(bytes));
    CHECK_FALSE(decodeRateLimitReport(encodeCrashReport(CrashReport{"front-1~5"})));
    CHECK_FALSE(decodeRateLimitReport(encodeLoadReport(LoadReport{"front-1~5", "10.0.0.1:90", "a"})));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeRateLimitReport(bytes.substr(0, size)));
    }
}

TEST_CASE("Permits keep their content between instances")
{
    const Result<PeerMessage> request = decodePeerMessage(encodePeerMessage(PermitRequest{7, 8.5, 2'000'000}));
    REQUIRE(request);
    REQUIRE(std::holds_alternative<PermitRequest>(request.value()));
    CHECK(std::get<PermitRequest>(request.value()).endpoint == 7);
    CHECK(std::get<PermitRequest>(request.value()).callsPerSecond == 8.5);
    CHECK(std::get<PermitRequest>(request.value()).limitAge == 2'000'000);
    const Result<PeerMessage> reply = decodePeerMessage(encodePeerMessage(PermitReply{true, 90}));
    REQUIRE(reply);
    REQUIRE(std::holds_alternative<PermitReply>(reply.value()));
    CHECK(std::get<PermitReply>(reply.value()).granted);
    CHECK(std::get<PermitReply>(reply.value()).retryAfter == 90);
}

TEST_CASE("Requests for allowances keep their content between instances")
{
    AllowanceQuery query;
    query.request = AllowanceRequest{AllowanceCall{7, Allowance{8.5, 3.0}, 12, 99}, 5, 4, 3, 2.5};
    const Result<PeerMessage> request = decodePeerMessage(encodePeerMessage(query));
    REQUIRE(request);
    REQUIRE(std::holds_alternative<AllowanceQuery>(request.value()));
    const AllowanceRequest &read = std::get<AllowanceQuery>(request.value()).request;
    CHECK(read.call.organisation == 7);
    CHECK(read.call.allowance == Allowance{8.5, 3.0});
    CHECK(read.call.configVersion == 12);
    CHECK(read.call.program == 99);
    CHECK(read.instance == 5);
    CHECK(read.used == 4);
    CHECK(read.reserve == 3);
    CHECK(read.callsPerSecond == 2.5);
    const AllowanceDecision decision{true, AllowanceBound::OpenPrograms, 6, std::chrono::seconds(3), std::chrono::milliseconds(40)};
    const Result<PeerMessage> reply = decodePeerMessage(encodePeerMessage(AllowanceReply{decision}));
    REQUIRE(reply);
    REQUIRE(std::holds_alternative<AllowanceReply>(reply.value()));
    CHECK(std::get<AllowanceReply>(reply.value()).decision.granted);
    CHECK(std::get<AllowanceReply>(reply.value()).decision.bound == AllowanceBound::OpenPrograms);
    CHECK(std::get<AllowanceReply>(reply.value()).decision.reserve == 6);
    CHECK(std::get<AllowanceReply>(reply.value()).decision.lifetime == std::chrono::seconds(3));
    CHECK(std::get<AllowanceReply>(reply.value()).decision.retryAfter == std::chrono::milliseconds(40));
}

TEST_CASE("Reports of reached endpoints keep their content, and no other report is taken for one")
{
    const ReachReport report{"front-1~5", true, {7, 9}, 12};
    const std::string bytes = encodeReachReport(report);
    const Result<ReachReport> decoded = decodeReachReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == report.instance);
    CHECK(decoded.value().isolated);
    CHECK(decoded.value().cutOff == report.cutOff);
    CHECK(decoded.value().carried == 12);
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeRateLimitReport(bytes));
    CHECK_FALSE(decodeReachReport(encodeLoadReport(LoadReport{"front-1~5", "10.0.0.1:90", "a"})));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeReachReport(bytes.substr(0, size)));
    }
}

TEST_CASE("Reports of leaving endpoints keep their content, and no other report is taken for one")
{
    const LeavingReport report{"front-1~5", {LeavingStatement{"i-3", 17}, LeavingStatement{"i-4", 18}}};
    const std::string bytes = encodeLeavingReport(report);
    const Result<LeavingReport> decoded = decodeLeavingReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == report.instance);
    REQUIRE(decoded.value().endpoints.size() == 2);
    CHECK(decoded.value().endpoints[1].endpoint == "i-4");
    CHECK(decoded.value().endpoints[1].startedAt == 18);
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeReachReport(bytes));
    CHECK_FALSE(decodeLeavingReport(encodeReachReport(ReachReport{"front-1~5"})));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeLeavingReport(bytes.substr(0, size)));
    }
}

TEST_CASE("Requests for tunnels keep their content between instances")
{
    const Result<PeerMessage> request = decodePeerMessage(encodePeerMessage(TunnelRequest{5, "front-1~5", "i-3", 200}));
    REQUIRE(request);
    REQUIRE(std::holds_alternative<TunnelRequest>(request.value()));
    CHECK(std::get<TunnelRequest>(request.value()).tunnel == 5);
    CHECK(std::get<TunnelRequest>(request.value()).instance == "front-1~5");
    CHECK(std::get<TunnelRequest>(request.value()).endpoint == "i-3");
    CHECK(std::get<TunnelRequest>(request.value()).timeout == 200);
    const Result<PeerMessage> reply = decodePeerMessage(encodePeerMessage(TunnelReply{TunnelOutcome::Refused}));
    REQUIRE(reply);
    REQUIRE(std::holds_alternative<TunnelReply>(reply.value()));
    CHECK(std::get<TunnelReply>(reply.value()).outcome == TunnelOutcome::Refused);
}

TEST_CASE("Records of software versions keep their content between instances")
{
    const Result<PeerMessage> query = decodePeerMessage(encodePeerMessage(VersionRecordsQuery()));
    REQUIRE(query);
    CHECK(std::holds_alternative<VersionRecordsQuery>(query.value()));
    VersionRecordsReply sent;
    sent.isKnown = true;
    sent.revision = 9;
    sent.records.push_back(HandedVersionRecord{"key", "value", 7});
    const Result<PeerMessage> reply = decodePeerMessage(encodePeerMessage(sent));
    REQUIRE(reply);
    REQUIRE(std::holds_alternative<VersionRecordsReply>(reply.value()));
    const VersionRecordsReply &received = std::get<VersionRecordsReply>(reply.value());
    CHECK(received.isKnown);
    CHECK(received.revision == 9);
    REQUIRE(received.records.size() == 1);
    CHECK(received.records.front().key == "key");
    CHECK(received.records.front().value == "value");
    CHECK(received.records.front().revision == 7);
}

// Guards against lost endpoints while instances of two builds run side by side: earlier ones send and read no software versions.
TEST_CASE("Endpoints from a peer of an earlier build are read without versions")
{
    EndpointsReply reply;
    reply.entries.push_back(EndpointEntry{EndpointSpec{"a", "10.1.0.1:80", "d", 4, false, "v1"}, "service", 7});
    const std::string bytes = encodePeerMessage(reply);
    const Result<PeerMessage> whole = decodePeerMessage(bytes);
    REQUIRE(whole);
    CHECK(std::get<EndpointsReply>(whole.value()).hasVersions);
    CHECK(std::get<EndpointsReply>(whole.value()).entries == reply.entries);
    constexpr std::size_t versionBytes = 8 + 2; // A length and the text.
    const Result<PeerMessage> earlier = decodePeerMessage(bytes.substr(0, bytes.size() - versionBytes));
    REQUIRE(earlier);
    CHECK_FALSE(std::get<EndpointsReply>(earlier.value()).hasVersions);
    REQUIRE(std::get<EndpointsReply>(earlier.value()).entries.size() == 1);
    CHECK(std::get<EndpointsReply>(earlier.value()).entries.front().spec.id == "a");
}

TEST_CASE("Reports of members keep their content, and no other report is taken for one")
{
    MemberReport report;
    report.members = {ReportedMember{"front-1~5", "10.0.0.1:90", "a", true, 77, 250, {5, 1}}, ReportedMember{"front-2~6", "10.0.0.2:90", "b"}};
    report.ages = {ReportedAge{7, 300}, ReportedAge{9, 2}};
    const std::string bytes = encodeMemberReport(report);
    const Result<MemberReport> decoded = decodeMemberReport(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded.value().members.size() == 2);
    const ReportedMember &member = decoded.value().members.front();
    CHECK(member.instance == "front-1~5");
    CHECK(member.address == "10.0.0.1:90");
    CHECK(member.domain == "a");
    CHECK(member.leaving);
    CHECK(member.number == 77);
    CHECK(member.age == 250);
    CHECK(member.ownedBudgetSlots == std::vector<std::uint8_t>{5, 1});
    CHECK(decoded.value().members.back().instance == "front-2~6");
    REQUIRE(decoded.value().ages.size() == 2);
    CHECK(decoded.value().ages.front().member == 7);
    CHECK(decoded.value().ages.front().age == 300);
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeCrashReport(bytes));
    CHECK_FALSE(decodeMemberReport(encodeLoadReport(LoadReport{"front-1~5", "10.0.0.1:90", "a"})));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeMemberReport(bytes.substr(0, size)));
    }
}

// Guards against news that never arrive: receivers drop datagrams that are longer.
TEST_CASE("What is told of members with long names and many slots fits into a datagram")
{
    constexpr std::size_t maxDatagramBytes = 1400;
    constexpr std::size_t authenticationBytes = 32;
    constexpr Time now{std::chrono::hours(1)};
    for (const std::size_t nameLength : {std::size_t{5}, std::size_t{30}, std::size_t{90}}) {
        CAPTURE(nameLength);
        PeerTable table("10.0.0.0:90", "a", {});
        for (int index = 1; index <= 259; ++index) {
            PeerReport peer;
            peer.instance = InstanceRecord{std::string(nameLength, 'n') + std::to_string(index) + "~1764938000000000",
                                           "192.168.200." + std::to_string(index) + ":29090",
                                           std::string(nameLength, 'd')};
            peer.number = 1;
            peer.ownedBudgetSlots = {3, 127};
            table.onReport(peer, now);
        }
        for (const MemberNews &news : {table.nextChanges(now), table.nextAges(now), table.nextWelcome(now)}) {
            MemberReport report;
            for (const MemberEntry &entry : news.entries) {
                report.members.push_back(ReportedMember{
                    entry.instance.id, entry.instance.peerAddress, entry.instance.domain, false, entry.number, 0, std::vector<std::uint8_t>(16)});
            }
            for (const MemberAge &age : news.ages) {
                report.ages.push_back(ReportedAge{age.member, 1});
            }
            CHECK(report.members.size() >= 4);
            CHECK(encodeMemberReport(report).size() + authenticationBytes <= maxDatagramBytes);
        }
    }
}

// Guards against reports between two builds that one of them cannot read.
TEST_CASE("Load reports say for how long the service has been available, and those of earlier builds do not")
{
    LoadReport report{"front-1~5", "10.0.0.1:90", "a"};
    report.peers = {"10.0.0.2:90"};
    const std::string unknown = encodeLoadReport(report);
    report.serviceAvailableAge = 2500000;
    const std::string bytes = encodeLoadReport(report);
    const Result<LoadReport> decoded = decodeLoadReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().serviceAvailableAge == 2500000);
    CHECK(decoded.value().peers == report.peers);
    const Result<LoadReport> earlier = decodeLoadReport(bytes.substr(0, bytes.size() - sizeof(std::uint64_t)));
    REQUIRE(earlier);
    CHECK(earlier.value().serviceAvailableAge == std::numeric_limits<std::uint64_t>::max());
    CHECK(earlier.value().peers == report.peers);
    CHECK(decodeLoadReport(unknown).value().serviceAvailableAge == std::numeric_limits<std::uint64_t>::max());
}
