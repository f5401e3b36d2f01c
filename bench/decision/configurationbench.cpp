//! Benchmarks of the cost of organisations: parsing a configuration that defines them, and looking one up by the hash of a caller's key.

#include "config/configuration.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace {

using namespace oleandergate;

//! Returns a configuration document with \p organisations organisations, each with one program.
std::string configurationText(std::int64_t organisations)
{
    std::string text = "[[operator]]\nname = \"o\"\nkey_hash = \"" + sha256Hex("operator")
        + "\"\n"
          "[[pool]]\nname = \"p\"\nservice = \"s\"\nmodels = [\"m\"]\nslots_per_endpoint = 8\nprice_per_1k_tokens = \"0.002\"\n"
          "favour = \"programs\"\n";
    for (std::int64_t index = 0; index < organisations; ++index) {
        const std::string name = "organisation-" + std::to_string(index);
        text += "[[organisation]]\nname = \"" + name + "\"\nkey_hashes = [\"" + sha256Hex(name) + "\"]\n";
        text += "[[program]]\nname = \"round\"\norganisation = \"" + name
            + "\"\nbudget = \"2.50\"\npriority = 2\nmax_turns = 72\ndeadline_s = 120\npools = [\"p\"]\nservices = []\n";
    }
    return text;
}

Configuration makeConfiguration(std::int64_t organisations)
{
    ConfigIssues issues;
    std::optional<Configuration> configuration = parseConfiguration(configurationText(organisations), "bench", issues);
    if (!configuration) {
        throw std::runtime_error(describe(issues));
    }
    return std::move(*configuration);
}

void readOrganisations(benchmark::State &state)
{
    const std::string text = configurationText(state.range(0));
    for (auto step : state) {
        ConfigIssues issues;
        benchmark::DoNotOptimize(parseConfiguration(text, "bench", issues));
    }
    const std::size_t before = mallinfo2().uordblks;
    const Configuration configuration = makeConfiguration(state.range(0));
    state.counters["text_bytes_each"] = static_cast<double>(text.size()) / static_cast<double>(state.range(0));
    state.counters["memory_bytes_each"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(0));
}
BENCHMARK(readOrganisations)->Arg(100)->Arg(1000)->Arg(5600)->Unit(benchmark::kMillisecond);

void findCaller(benchmark::State &state)
{
    const Configuration configuration = makeConfiguration(state.range(0));
    const std::string name = "organisation-" + std::to_string(state.range(0) / 2);
    const std::string hash = sha256Hex(name);
    for (auto step : state) {
        const OrganisationConfig *found = configuration.findOrganisationByKeyHash(hash);
        benchmark::DoNotOptimize(configuration.findProgram("round", found->name));
    }
}
BENCHMARK(findCaller)->Arg(100)->Arg(1000)->Arg(5600);

} // namespace
