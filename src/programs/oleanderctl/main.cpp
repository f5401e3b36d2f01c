//! Command line client for operators.

#include "config/configuration.h"
#include "programs/oleanderctl/adminclient.h"
#include "programs/oleanderctl/linediff.h"
#include "runtime/commandline.h"
#include "runtime/jsonaccess.h"
#include "runtime/requesttarget.h"
#include "runtime/textfile.h"

#include <boost/json.hpp>

#include <cstdlib>
#include <iostream>
#include <map>

namespace {

using namespace oleandergate;
namespace json = boost::json;

constexpr const char *usage = R"(oleanderctl: operates oleandergate.

Usage:
  oleanderctl [options] config validate FILE
  oleanderctl [options] config apply FILE [--expect=VERSION]
  oleanderctl [options] config show
  oleanderctl [options] config diff FILE
  oleanderctl [options] config history
  oleanderctl [options] status
  oleanderctl [options] programs list
  oleanderctl [options] programs show ID
  oleanderctl [options] programs cancel ID
  oleanderctl [options] drain
  oleanderctl hash-key
  oleanderctl (-h | --help)

Options:
  --address=ADDRESS  Operators' address of an entry instance [default: 127.0.0.1:7080].
  --expect=VERSION   Apply only if this version is the active one; without it, the version that is active now.
  --json             Print the JSON documents of the instance unchanged.
  -h --help          Show this text.

The operator's key is read from the environment variable OLEANDER_KEY.
hash-key reads a key from standard input and prints its hash for the configuration.
)";

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusConflict = 409;

using Options = std::map<std::string, docopt::value>;

struct Session
{
    AdminClient client;
    bool json = false;
    Options options{};
};

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

int reportResult(const HttpResponse &response)
{
    if (response.status == statusOk || response.status == statusAccepted) {
        return 0;
    }
    const json::object document = parseJsonObject(response.body);
    const json::value *error = document.if_contains("error");
    const json::object details = error != nullptr && error->is_object() ? error->get_object() : json::object();
    std::cerr << "oleanderctl: " << textOf(details, "code") << " at step " << textOf(details, "step") << ": " << textOf(details, "message") << '\n';
    return exitFailed;
}

int printIssues(const ConfigIssues &issues)
{
    std::cerr << describe(issues);
    return exitFailed;
}

std::optional<std::string> readConfigFile(Session &session)
{
    const std::string file = session.options.at("FILE").asString();
    std::optional<std::string> text = readTextFile(file);
    if (!text) {
        std::cerr << "oleanderctl: cannot read " << file << '\n';
    }
    return text;
}

int validate(Session &session)
{
    const std::optional<std::string> text = readConfigFile(session);
    if (!text) {
        return exitUsage;
    }
    ConfigIssues issues;
    if (!parseConfiguration(*text, session.options.at("FILE").asString(), issues)) {
        return printIssues(issues);
    }
    std::cout << "valid\n";
    return 0;
}

int apply(Session &session)
{
    const std::optional<std::string> text = readConfigFile(session);
    if (!text) {
        return exitUsage;
    }
    ConfigIssues issues;
    if (!parseConfiguration(*text, session.options.at("FILE").asString(), issues)) {
        return printIssues(issues);
    }
    std::string expected;
    if (session.options.at("--expect")) {
        expected = session.options.at("--expect").asString();
    } else {
        const auto current = session.client.send("GET", "/admin/config");
        if (!current) {
            return exitFailed;
        }
        expected = current->status == statusOk ? textOf(parseJsonObject(current->body), "version") : "0";
    }
    const auto response = session.client.send("PUT", "/admin/config", *text, expected);
    if (!response) {
        return exitFailed;
    }
    if (response->status == statusConflict) {
        const auto current = session.client.send("GET", "/admin/config");
        if (current && current->status == statusOk) {
            const json::object active = parseJsonObject(current->body);
            std::cerr << "oleanderctl: configuration not applied: version " << textOf(active, "version") << " by " << textOf(active, "author")
                      << " is active. Changes from it to yours:\n"
                      << lineDiff(textOf(active, "text"), *text);
        }
        return exitFailed;
    }
    if (response->status == statusOk) {
        std::cout << (session.json ? response->body : "version " + textOf(parseJsonObject(response->body), "version") + " is active") << '\n';
    }
    return reportResult(*response);
}

int show(Session &session)
{
    const auto response = session.client.send("GET", "/admin/config");
    if (response && response->status == statusOk) {
        std::cout << (session.json ? response->body + "\n" : textOf(parseJsonObject(response->body), "text"));
    }
    return response ? reportResult(*response) : exitFailed;
}

int diff(Session &session)
{
    const std::optional<std::string> text = readConfigFile(session);
    const auto response = text ? session.client.send("GET", "/admin/config") : std::nullopt;
    if (response && response->status == statusOk) {
        std::cout << lineDiff(textOf(parseJsonObject(response->body), "text"), *text);
    }
    return response ? reportResult(*response) : exitFailed;
}

int history(Session &session)
{
    const auto response = session.client.send("GET", "/admin/config/history");
    if (response && response->status == statusOk) {
        if (session.json) {
            std::cout << response->body << '\n';
            return 0;
        }
        const json::value versions = json::parse(response->body);
        for (const json::value &entry : versions.as_array()) {
            const json::object &version = entry.as_object();
            std::cout << textOf(version, "version") << "  " << textOf(version, "at") << "  " << textOf(version, "author") << '\n';
        }
    }
    return response ? reportResult(*response) : exitFailed;
}

void printStatus(const json::object &status)
{
    for (const char *key : {"instance", "posture", "config_version", "live_calls", "owned_slots", "peak_cap", "peak_granted", "peak_used"}) {
        std::cout << key << ": " << textOf(status, key) << '\n';
    }
    for (const json::value &entry : status.at("instances").as_array()) {
        const json::object &instance = entry.as_object();
        std::cout << "  instance " << textOf(instance, "id") << "  domain " << textOf(instance, "domain") << "  slots " << textOf(instance, "slots")
                  << (textOf(instance, "leaving") == "true" ? "  leaving" : "") << '\n';
    }
    for (const json::value &entry : status.at("pools").as_array()) {
        const json::object &pool = entry.as_object();
        std::cout << "  pool " << textOf(pool, "pool") << "  endpoints " << textOf(pool, "endpoints") << "  running " << textOf(pool, "running") << "  waiting "
                  << textOf(pool, "waiting") << '\n';
    }
}

int status(Session &session)
{
    const auto response = session.client.send("GET", "/admin/status");
    if (response && response->status == statusOk) {
        if (session.json) {
            std::cout << response->body << '\n';
        } else {
            printStatus(parseJsonObject(response->body));
        }
    }
    return response ? reportResult(*response) : exitFailed;
}

int programs(Session &session)
{
    const std::string id = session.options.at("ID") ? session.options.at("ID").asString() : "";
    const bool list = session.options.at("list").asBool();
    const bool cancel = session.options.at("cancel").asBool();
    const std::string target = "/admin/programs" + (list ? "" : "/" + escapedSegment(id) + (cancel ? "/cancel" : "/history"));
    const auto response = session.client.send(cancel ? "POST" : "GET", target);
    if (!response || response->status != statusOk) {
        return response ? reportResult(*response) : exitFailed;
    }
    if (session.json || !list) {
        std::cout << response->body << '\n';
        return 0;
    }
    const json::object document = parseJsonObject(response->body);
    for (const json::value &entry : document.at("programs").as_array()) {
        const json::object &program = entry.as_object();
        std::cout << textOf(program, "id") << "  " << textOf(program, "organisation") << '/' << textOf(program, "kind") << "  " << textOf(program, "phase")
                  << "  turns " << textOf(program, "turns") << "  spent " << textOf(program, "spent") << " of " << textOf(program, "budget") << '\n';
    }
    for (const json::value &instance : document.at("unreachable").as_array()) {
        std::cerr << "oleanderctl: instance not reached: " << textOf(json::object{{"id", instance}}, "id") << '\n';
    }
    return 0;
}

int drain(Session &session)
{
    const auto response = session.client.send("POST", "/admin/drain");
    return response ? reportResult(*response) : exitFailed;
}

int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << sha256Hex(key) << '\n';
    return key.empty() ? exitUsage : 0;
}

struct Command
{
    const char *group;
    const char *name;
    int (*run)(Session &session);
};

constexpr Command commands[] = {
    {"config", "validate", validate},
    {"config", "apply", apply},
    {"config", "show", show},
    {"config", "diff", diff},
    {"config", "history", history},
    {"status", "status", status},
    {"programs", "programs", programs},
    {"drain", "drain", drain},
};

} // namespace

int main(int argc, char **argv)
{
    const Options options = oleandergate::parseCommandLine("oleanderctl", usage, argc, argv);
    if (options.at("hash-key").asBool()) {
        return hashKey();
    }
    const char *key = std::getenv("OLEANDER_KEY");
    Session session{AdminClient(options.at("--address").asString(), key == nullptr ? "" : key), options.at("--json").asBool(), options};
    for (const Command &command : commands) {
        if (options.at(command.group).asBool() && options.at(command.name).asBool()) {
            return command.run(session);
        }
    }
    return exitUsage;
}
