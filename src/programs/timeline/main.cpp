//! Merges the event files of several processes into one timeline.

#include "runtime/commandline.h"
#include "runtime/jsonaccess.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace json = boost::json;
using oleandergate::jsonText;

constexpr const char *usage = R"(oleander-timeline: merges the event files of several processes into one timeline.

Usage:
  oleander-timeline [--program=ID] [--request=ID] [--json] FILE...
  oleander-timeline (-h | --help)

Options:
  --program=ID  Only events of this program.
  --request=ID  Only events of this request.
  --json        Print the events as JSON, one object per line.
  -h --help     Show this text.
)";

struct Event
{
    std::int64_t at = 0; //!< Microseconds since the Unix epoch.
    std::string process{};
    std::string step{};
    std::string program{};
    std::string request{};
    std::string detail{};
    std::string line{}; //!< The event as read, in JSON.
};

std::size_t readEvents(const std::string &file, std::vector<Event> &events)
{
    std::ifstream in(file);
    std::size_t skipped = 0;
    std::string line;
    while (std::getline(in, line)) {
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        const json::value *at = error || !value.is_object() ? nullptr : value.get_object().if_contains("at");
        if (at == nullptr || !at->is_int64()) {
            // A process that was killed may leave an incomplete last line.
            skipped += 1;
            continue;
        }
        const json::object &object = value.get_object();
        events.push_back(Event{at->get_int64(),
                               jsonText(object, "process"),
                               jsonText(object, "step"),
                               jsonText(object, "program"),
                               jsonText(object, "request"),
                               jsonText(object, "detail"),
                               line});
    }
    return skipped;
}

void printEvent(const Event &event, std::int64_t origin)
{
    constexpr double microsPerMilli = 1000.0;
    constexpr int timeWidth = 12;
    constexpr int processWidth = 14;
    constexpr int stepWidth = 16;
    std::cout << std::setw(timeWidth) << std::fixed << std::setprecision(3) << static_cast<double>(event.at - origin) / microsPerMilli << " ms  " << std::left
              << std::setw(processWidth) << event.process << std::setw(stepWidth) << event.step << std::right << event.program << ' ' << event.request << ' '
              << event.detail << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = oleandergate::parseCommandLine("oleander-timeline", usage, argc, argv);
    std::vector<Event> events;
    std::size_t skipped = 0;
    for (const std::string &file : options.at("FILE").asStringList()) {
        skipped += readEvents(file, events);
    }
    const std::string program = options.at("--program") ? options.at("--program").asString() : "";
    const std::string request = options.at("--request") ? options.at("--request").asString() : "";
    std::erase_if(events, [&](const Event &event) {
        return (!program.empty() && event.program != program) || (!request.empty() && event.request != request);
    });
    std::stable_sort(events.begin(), events.end(), [](const Event &left, const Event &right) {
        return left.at < right.at;
    });
    for (const Event &event : events) {
        if (options.at("--json").asBool()) {
            std::cout << event.line << '\n';
        } else {
            printEvent(event, events.front().at);
        }
    }
    if (skipped > 0) {
        std::cerr << "oleander-timeline: skipped " << skipped << " malformed lines\n";
    }
    return 0;
}
