//! Entry instance: serves callers and operators, owns programs, and sends their calls to endpoints.

#include "config/settings.h"
#include "runtime/commandline.h"
#include "runtime/entryinstance.h"
#include "runtime/log.h"
#include "runtime/textfile.h"

#include <iostream>

namespace {

constexpr const char *usage = R"(oleandergate: entry instance of the scheduler for agent programs.

Usage:
  oleandergate --settings=FILE [--check]
  oleandergate (-h | --help)
  oleandergate --version

Options:
  --settings=FILE  Settings file of this process, in TOML.
  --check          Check the settings, print them with their defaults, and exit.
  -h --help        Show this text.
  --version        Show the version.
)";

constexpr int exitUsage = 2;
constexpr int exitFailed = 1;

} // namespace

int main(int argc, char **argv)
{
    using namespace oleandergate;
    const auto options = oleandergate::parseCommandLine("oleandergate", usage, argc, argv);
    const std::string file = options.at("--settings").asString();
    const std::optional<std::string> text = readTextFile(file);
    if (!text) {
        std::cerr << "oleandergate: cannot read " << file << '\n';
        return exitUsage;
    }
    ConfigIssues issues;
    const std::optional<Settings> settings = parseSettings(*text, file, issues);
    if (!settings) {
        std::cerr << describe(issues);
        return exitUsage;
    }
    if (options.at("--check").asBool()) {
        std::cout << formatSettings(*settings);
        return 0;
    }
    setUpLog(settings->logFormat, settings->logLevel, settings->instanceName);
    EntryInstance instance(*settings);
    const Result<void> ended = instance.run();
    if (!ended) {
        logError("instance", "cannot start", ended.error());
        flushLog();
        return exitFailed;
    }
    flushLog();
    return 0;
}
