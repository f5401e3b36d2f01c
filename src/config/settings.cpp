#include "config/settings.h"

#include "config/checkedtable.h"

namespace oleandergate {

namespace {

constexpr std::size_t minPeerKeyLength = 32;
constexpr std::int64_t bytesPerKilobyte = 1024;
constexpr std::int64_t kilobytesPerMegabyte = 1024;

//! A body of unknown length is copied while it grows, and may take a quarter of the memory with its copy.
constexpr std::int64_t memoryPerBody = 10;

std::string readAddress(CheckedTable &table, const std::string &key)
{
    const std::size_t addressStart = 0;
    std::string address = table.text(key);
    const std::size_t colon = address.rfind(':');
    const bool isValid = colon != std::string::npos && colon > addressStart && colon + 1 < address.size()
        && address.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    if (!address.empty() && !isValid) {
        table.addIssue(key, "'" + address + "'", "an IP address and a port, such as \"127.0.0.1:8080\"");
    }
    return address;
}

} // namespace

std::optional<Settings> parseSettings(const std::string &text, const std::string &file, ConfigIssues &issues)
{
    std::optional<CheckedTable> root = parseToml(text, file, issues);
    if (!root) {
        return std::nullopt;
    }
    Settings settings;
    CheckedTable instance = root->table("instance");
    settings.instanceName = instance.text("name");
    settings.domain = instance.text("domain");
    settings.dataFolder = instance.text("data_folder", "");
    instance.reportUnknownKeys();
    CheckedTable listen = root->table("listen");
    settings.callerAddress = readAddress(listen, "callers");
    settings.adminAddress = readAddress(listen, "operators");
    settings.peerAddress = readAddress(listen, "peers");
    settings.seeds = listen.texts("seeds");
    listen.reportUnknownKeys();
    CheckedTable platform = root->table("platform");
    settings.keyValueAddress = readAddress(platform, "key_value");
    settings.instanceListAddress = readAddress(platform, "instance_list");
    platform.reportUnknownKeys();
    CheckedTable security = root->table("security");
    settings.peerKey = security.text("peer_key");
    if (!settings.peerKey.empty() && settings.peerKey.size() < minPeerKeyLength) {
        security.addIssue("peer_key", "a secret that is too short", "at least 32 characters");
    }
    security.reportUnknownKeys();
    CheckedTable log = root->table("log");
    settings.logFormat = log.choice("format", {"text", "json"}, "text");
    settings.logLevel = log.choice("level", {"info", "debug", "warning", "error"}, "info");
    settings.eventFile = log.text("event_file", "");
    log.reportUnknownKeys();
    CheckedTable runtime = root->table("runtime");
    settings.threads = static_cast<unsigned>(runtime.number("threads", 1, 64, 2));
    settings.shards = static_cast<unsigned>(runtime.number("shards", 1, 64, 2));
    settings.slotCount = static_cast<SlotId>(runtime.number("slots", 1, 65536, 64));
    settings.journalWritesPerSecond = runtime.number("journal_writes_per_second", 1, 100000, 300);
    settings.leaseDuration = std::chrono::milliseconds(runtime.number("lease_ms", 500, 60000, 3000));
    settings.ownerWait = std::chrono::milliseconds(runtime.number("owner_wait_ms", 100, 60000, 6000));
    settings.drainLimit = std::chrono::milliseconds(runtime.number("drain_limit_ms", 100, 3600000, 120000));
    runtime.reportUnknownKeys();
    CheckedTable limits = root->table("limits");
    settings.maxBodyBytes = static_cast<std::size_t>(limits.number("body_kb", 1, 65536, 4096) * bytesPerKilobyte);
    settings.maxHeaderBytes = static_cast<std::size_t>(limits.number("header_kb", 1, 256, 16) * bytesPerKilobyte);
    settings.receiveTimeout = std::chrono::milliseconds(limits.number("caller_timeout_ms", 100, 600000, 10000));
    const std::int64_t memoryMegabytes = limits.number("memory_mb", 32, 1048576, 1024);
    settings.memoryBytes = static_cast<std::size_t>(memoryMegabytes * kilobytesPerMegabyte * bytesPerKilobyte);
    settings.maxDescriptors = static_cast<std::size_t>(limits.number("descriptors", 0, 100000000, 0));
    if (settings.memoryBytes / memoryPerBody < settings.maxBodyBytes) {
        limits.addIssue("memory_mb",
                        std::to_string(memoryMegabytes) + " for bodies of " + std::to_string(settings.maxBodyBytes / bytesPerKilobyte) + " KB",
                        "at least " + std::to_string(memoryPerBody) + " times as much as body_kb");
    }
    limits.reportUnknownKeys();
    root->reportUnknownKeys();
    return issues.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

std::string formatSettings(const Settings &settings)
{
    const auto quoted = [](const std::string &text) {
        return "\"" + text + "\"\n";
    };
    const auto millis = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + "\n";
    };
    std::string seeds;
    for (const std::string &seed : settings.seeds) {
        seeds += (seeds.empty() ? "\"" : ", \"") + seed + "\"";
    }
    std::string text = "[instance]\nname = " + quoted(settings.instanceName);
    text += "domain = " + quoted(settings.domain);
    text += "data_folder = " + quoted(settings.dataFolder);
    text += "\n[listen]\ncallers = " + quoted(settings.callerAddress);
    text += "operators = " + quoted(settings.adminAddress);
    text += "peers = " + quoted(settings.peerAddress);
    text += "seeds = [" + seeds + "]\n";
    text += "\n[platform]\nkey_value = " + quoted(settings.keyValueAddress);
    text += "instance_list = " + quoted(settings.instanceListAddress);
    text += "\n[security]\npeer_key = \"(hidden)\"\n";
    text += "\n[log]\nformat = " + quoted(settings.logFormat);
    text += "level = " + quoted(settings.logLevel);
    text += "event_file = " + quoted(settings.eventFile);
    text += "\n[runtime]\nthreads = " + std::to_string(settings.threads);
    text += "\nshards = " + std::to_string(settings.shards);
    text += "\nslots = " + std::to_string(settings.slotCount);
    text += "\njournal_writes_per_second = " + std::to_string(settings.journalWritesPerSecond);
    text += "\nlease_ms = " + millis(settings.leaseDuration);
    text += "owner_wait_ms = " + millis(settings.ownerWait);
    text += "drain_limit_ms = " + millis(settings.drainLimit);
    text += "\n[limits]\nbody_kb = " + std::to_string(settings.maxBodyBytes / bytesPerKilobyte);
    text += "\nheader_kb = " + std::to_string(settings.maxHeaderBytes / bytesPerKilobyte);
    text += "\ncaller_timeout_ms = " + millis(settings.receiveTimeout);
    text += "memory_mb = " + std::to_string(settings.memoryBytes / kilobytesPerMegabyte / bytesPerKilobyte);
    text += "\ndescriptors = " + std::to_string(settings.maxDescriptors) + "\n";
    return text;
}

} // namespace oleandergate
