#include "decision/assignmentcurrency.h"

#include "wire/codec.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration ms = std::chrono::milliseconds(1);
const Time start = Time{} + std::chrono::hours(1);

} // namespace

// Guards against streams that begin by an assignment which others have ceased to reckon with.
TEST_CASE("Assignments: streams begin by those that were confirmed lately, or while nothing is missed")
{
    AssignmentCurrency currency;
    currency.onKnown(7);
    CHECK(currency.isCurrent(start, true, start + 60000 * ms));
    CHECK(currency.isCurrent(start, false, start + 2000 * ms));
    CHECK_FALSE(currency.isCurrent(start, false, start + 2001 * ms));
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
    CHECK_FALSE(currency.isCurrent(start, true, start));
    currency.onKnown(8);
    CHECK(currency.isBehind());
    currency.onKnown(9);
    CHECK(currency.isCurrent(start, true, start));
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
    const std::string bytes = encodeAssignmentReport(AssignmentReport{"front-1", 42});
    CHECK(hasReportMark(bytes));
    const Result<AssignmentReport> decoded = decodeAssignmentReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().instance == "front-1");
    CHECK(decoded.value().revision == 42);
    CHECK_FALSE(decodeLeavingReport(bytes));
    CHECK_FALSE(decodeMemberReport(bytes));
    // Builds that do not know it try this.
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeAssignmentReport(encodeLoadReport(LoadReport())));
    CHECK_FALSE(decodeAssignmentReport(bytes.substr(0, bytes.size() - 1)));
}
