#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "gatewaycluster.h"

#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr std::size_t shownLines = 25; //!< Of each log, at its end.
constexpr std::size_t shownBytes = 400; //!< Of each line.

void printEnd(const std::filesystem::path &log)
{
    std::deque<std::string> lines;
    std::ifstream file(log);
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line.substr(0, shownBytes));
        if (lines.size() > shownLines) {
            lines.pop_front();
        }
    }
    std::cout << "end of " << log.string() << ":\n";
    for (const std::string &line : lines) {
        std::cout << "    " << line << "\n";
    }
}

//! Keeps the gateways' logs of test cases that fail, and prints their ends: a failure that comes once leaves nothing else to trace it by.
class LogKeeper : public doctest::IReporter
{
public:
    explicit LogKeeper(const doctest::ContextOptions & /*options*/)
    {
        oleandergate::support::GatewayCluster::setFolderHook([this](const std::string &folder) {
            this->folders.push_back(folder);
        });
    }

    void test_case_end(const doctest::CurrentTestCaseStats &stats) override
    {
        for (const std::string &folder : this->folders) {
            std::error_code ignored;
            if (stats.failure_flags == 0) {
                std::filesystem::remove_all(folder, ignored);
                continue;
            }
            for (const auto &entry : std::filesystem::directory_iterator(folder, ignored)) {
                if (entry.path().extension() == ".log") {
                    printEnd(entry.path());
                }
            }
        }
        this->folders.clear();
    }

    void report_query(const doctest::QueryData & /*data*/) override
    {
    }
    void test_run_start() override
    {
    }
    void test_run_end(const doctest::TestRunStats & /*stats*/) override
    {
    }
    void test_case_start(const doctest::TestCaseData & /*data*/) override
    {
    }
    void test_case_reenter(const doctest::TestCaseData & /*data*/) override
    {
    }
    void test_case_exception(const doctest::TestCaseException & /*exception*/) override
    {
    }
    void subcase_start(const doctest::SubcaseSignature & /*signature*/) override
    {
    }
    void subcase_end() override
    {
    }
    void log_assert(const doctest::AssertData & /*data*/) override
    {
    }
    void log_message(const doctest::MessageData & /*data*/) override
    {
    }
    void test_case_skipped(const doctest::TestCaseData & /*data*/) override
    {
    }

private:
    std::vector<std::string> folders;
};

} // namespace

REGISTER_LISTENER("logkeeper", 1, LogKeeper);
