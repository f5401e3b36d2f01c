#include "decision/assignmentcurrency.h"

#include "wire/codec.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration ms = std::chrono::milliseconds(1);
const Time start = Time{} + std::chrono::hours(1);

} // namespace

// Guards against streams that begin by an assignment which others have ceased to reckon with.
TEST_CASE("Assignments: streams begin by those that were confirmed lately, or in an outage for all")
{
    AssignmentCurrency currency;
    currency.onKnown(7);
    CHECK_FALSE(currency.isCurrent(false, start));
    currency.onConfirmed(7, start);
    CHECK(currency.isCurrent(true, start + 60000 * ms));
    CHECK(currency.isCurrent(false, start + 2000 * ms));
    CHECK_FALSE(currency.isCurrent(false, start + 2001 * ms));
}

// Guards against instances that are cut off together and keep each other trusting: what they tell each other does not get younger.
TEST_CASE("Assignments: confirmations that instances pass on to each other run out")
{
    AssignmentCurrency one;
    AssignmentCurrency other;
    one.onKnown(7);
    other.onKnown(7);
    one.onConfirmed(7, start);
    for (Duration passed{}; passed <= 5000 * ms; passed += 50 * ms) {
        other.onConfirmed(7, one.confirmedAt());
        one.onConfirmed(7, other.confirmedAt());
        CHECK(one.isCurrent(false, start + passed) == (passed <= assignmentLifetime));
        CHECK(other.isCurrent(false, start + passed) == (passed <= assignmentLifetime));
    }
}

TEST_CASE("Assignments: what was confirmed of another change says nothing")
{
    AssignmentCurrency currency;
    currency.onKnown(7);
    currency.onConfirmed(6, start);
    currency.onConfirmed(8, start);
    CHECK_FALSE(currency.isCurrent(false, start));
    currency.onConfirmed(7, start);
    currency.onConfirmed(7, start - 1000 * ms);
    CHECK(currency.confirmedAt() == start);
}

TEST_CASE("Assignments: instances take turns to confirm, and the last one is in time")
{
    AssignmentCurrency currency;
    currency.onKnown(7);
    currency.onConfirmed(7, start);
    CHECK_FALSE(currency.isConfirmationDue(0, start + 1299 * ms));
    CHECK(currency.isConfirmationDue(0, start + 1300 * ms));
    CHECK_FALSE(currency.isConfirmationDue(1, start + 1300 * ms));
    CHECK(currency.isConfirmationDue(400, start + 1700 * ms));
}

TEST_CASE("Assignments: an instance whose peers know a later change is behind until it knows that, too")
{
    AssignmentCurrency currency;
    currency.onStated(5);
    CHECK(currency.isBehind());
    currency.onKnown(7);
    CHECK_FALSE(currency.isBehind());
    currency.onStated(6);
    CHECK_FALSE(currency.isBehind());
    currency.onStated(9);
    CHECK(currency.isBehind());
    CHECK_FALSE(currency.isCurrent(true, start));
    currency.onKnown(8);
    CHECK(currency.isBehind());
    currency.onKnown(9);
    CHECK(currency.isCurrent(true, start));
}

TEST_CASE("Assignments: a change is stated several times, and then now and then")
{
    AssignmentCurrency currency;
    CHECK_FALSE(currency.isStatementDue(start));
    currency.onKnown(7);
    CHECK(currency.hasNews());
    for (int report = 0; report < 3; ++report) {
        REQUIRE(currency.isStatementDue(start));
        currency.onStatementSent(start);
        CHECK_FALSE(currency.hasNews());
    }
    CHECK_FALSE(currency.isStatementDue(start + 399 * ms));
    CHECK(currency.isStatementDue(start + 400 * ms));
    currency.onKnown(7);
    CHECK_FALSE(currency.hasNews());
    currency.onKnown(8);
    CHECK(currency.isStatementDue(start));
}

TEST_CASE("Assignments: reports keep their content and are told from others")
{
    const std::string bytes = encodeAssignmentReport(AssignmentReport{"front-1", 42, 7000, 9000});
    CHECK(hasReportMark(bytes));
    const Result<AssignmentReport> decoded = decodeAssignmentReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == "front-1");
    CHECK(decoded.value().revision == 42);
    CHECK(decoded.value().confirmedAge == 7000);
    CHECK(decoded.value().madeAt == 9000);
    CHECK_FALSE(decodeLeavingReport(bytes));
    CHECK_FALSE(decodeMemberReport(bytes));
    // Builds that do not know it try this.
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeAssignmentReport(encodeLoadReport(LoadReport())));
    CHECK_FALSE(decodeAssignmentReport(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeAssignmentReport(bytes.substr(0, bytes.size() - sizeof(std::uint64_t))));
    // As earlier builds send it: without the age and the time of its making.
    const Result<AssignmentReport> former = decodeAssignmentReport(bytes.substr(0, bytes.size() - 2 * sizeof(std::uint64_t)));
    REQUIRE(former);
    CHECK(former.value().revision == 42);
    CHECK(former.value().confirmedAge == AssignmentReport().confirmedAge);
}
