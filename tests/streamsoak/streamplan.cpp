#include "streamplan.h"

#include <algorithm>

namespace oleandergate::streamsoak {

namespace {

constexpr std::array<const char *, 3> folderNames{"a/", longerPrefixFolder, "c/"};
constexpr std::size_t denseAttempts = 8;
constexpr int denseConnects = 120;
constexpr Milliseconds hastyLimit{600};
constexpr std::size_t largeEventBytes = 60000;
constexpr int ownStoreFactor = 4; //!< Troubles of one gateway with the store last so much longer than others.
constexpr Milliseconds releaseInterval{8500};
constexpr std::size_t streamsPerCaller = 60; //!< More than a caller has time for.
constexpr std::int64_t likelyStreams = 5; //!< That a caller has begun by the middle of a run.
constexpr std::uint64_t installationSeed = 0x9e3779b97f4a7c15U;

//! Further choices leave those of the seeds that were played before them as they are.
constexpr std::uint64_t furtherSeed = 0xc2b2ae3d27d4eb4fU;

//! Returns the seed of the choices. The installations with settings of their own share theirs.
std::uint64_t choicesOf(std::uint64_t seed, Installation installation)
{
    return installation == Installation::Talleres ? seed ^ installationSeed : seed;
}

//! The attempts of streams are numbered behind this.
constexpr const char *attemptMark = "-a";

std::string streamId(std::uint64_t seed, std::size_t caller, std::size_t number)
{
    return "s" + std::to_string(seed) + "-c" + std::to_string(caller) + "-" + std::to_string(number);
}

//! Chooses which attempt is named where \p stream is taken up.
void chooseNaming(soak::Dice &dice, const InstallationSettings &settings, std::uint64_t seed, PlannedStream &stream)
{
    if (settings.otherNaming == 0) {
        return;
    }
    const Naming other = dice.oneOf({Naming::None, Naming::None, Naming::None, Naming::Latest, Naming::Latest, Naming::Unknown, Naming::OtherStream});
    const auto caller = static_cast<std::size_t>(dice.between(0, static_cast<std::int64_t>(settings.callers) - 1));
    const auto number = static_cast<std::size_t>(dice.between(0, likelyStreams - 1));
    stream.naming = dice.percent(settings.otherNaming) ? other : Naming::First;
    stream.otherAttempt = streamId(seed, caller, number) + attemptMark + "0";
}

//! Returns the time between the starts of two streams of one caller.
Milliseconds pauseBetweenStreams(soak::Dice &dice, const InstallationSettings &settings)
{
    if (settings.streamsPerSecond <= 0.0) {
        return Milliseconds(0);
    }
    constexpr double msPerSecond = 1000.0;
    const double meanMs = static_cast<double>(settings.callers) * msPerSecond / settings.streamsPerSecond;
    return dice.time(0, static_cast<std::int64_t>(2.0 * meanMs));
}

PlannedStream makeStream(soak::Dice &dice, const StreamPlan &plan, std::size_t caller, std::size_t number)
{
    const InstallationSettings &settings = settingsOf(plan.installation);
    PlannedStream stream;
    stream.id = streamId(plan.seed, caller, number);
    stream.route = dice.oneOf(settings.routes);
    const support::Behaviour fault = dice.oneOf(settings.faults);
    stream.fault = dice.percent(plan.faultPercent) ? fault : support::Behaviour::Normal;
    stream.work = dice.time(0, 150);
    stream.gap = dice.percent(15) ? dice.time(150, 350) : dice.time(5, 120);
    stream.readPause = dice.percent(settings.slowReaders) ? dice.time(50, 400) : Milliseconds(0);
    stream.leaveAfter = dice.percent(settings.leave) ? dice.time(50, 800) : Milliseconds(0);
    stream.pauseBefore = dice.time(0, 150);
    stream.gateway = static_cast<std::size_t>(dice.between(0, static_cast<std::int64_t>(settings.gateways) - 1));
    return stream;
}

constexpr std::array endpointTroubles{
    Trouble::EndpointCrash, Trouble::EndpointRestart, Trouble::EndpointFreeze, Trouble::EndpointSilence, Trouble::EndpointReturn};

//! Endpoints of one software version give way to those of the next one, one after the other, twice.
void addReplacements(soak::Dice &dice, StreamPlan &plan)
{
    Milliseconds at = dice.time(500, 1500);
    for (const char *version : {"v2", "v3"}) {
        for (std::size_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            plan.troubles.push_back(PlannedTrouble{Trouble::Replacement, at, dice.time(100, 900), endpoint, version});
            at += dice.time(200, 900);
        }
    }
}

//! A half of the endpoints gives way to those of the next software version now and then; two versions serve in between.
void addHalfReleases(soak::Dice &dice, StreamPlan &plan)
{
    std::size_t endpoint = 0;
    Milliseconds at = dice.time(1000, 6000);
    for (const char *version : {"v2", "v2", "v3", "v3"}) {
        for (std::size_t replaced = 0; replaced < endpointCount / 2; ++replaced) {
            plan.troubles.push_back(PlannedTrouble{Trouble::Replacement, at, dice.time(100, 900), endpoint, version});
            endpoint = (endpoint + 1) % endpointCount;
            at += dice.time(100, 700);
        }
        at += dice.time(1000, 9000);
        if (at > plan.length) {
            return;
        }
    }
}

//! Half of the endpoints change version beside a trouble of one gateway or two, again and again. In between one version serves for longer than former
//! assignments are known.
void addReleases(soak::Dice &dice, StreamPlan &plan)
{
    const InstallationSettings &settings = settingsOf(plan.installation);
    int version = 2;
    for (Milliseconds at = dice.time(500, 1500); at + releaseInterval < plan.length + streamLimit; at += releaseInterval) {
        PlannedTrouble planned{dice.oneOf(settings.releases), at, dice.percent(60) ? dice.time(50, 1200) : dice.time(1200, 5000)};
        planned.target = static_cast<std::size_t>(dice.between(0, static_cast<std::int64_t>(settings.gateways) - 1));
        planned.version = "v" + std::to_string(version++);
        plan.troubles.push_back(planned);
    }
}

void addTroubles(soak::Dice &dice, StreamPlan &plan)
{
    const InstallationSettings &settings = settingsOf(plan.installation);
    const auto count = dice.between(settings.fewestTroubles, settings.mostTroubles);
    for (std::int64_t index = 0; index < count; ++index) {
        PlannedTrouble planned;
        planned.trouble = dice.oneOf(settings.troubles);
        planned.at = dice.time(500, plan.length.count() - 2000);
        planned.duration = dice.time(300, 4000);
        const bool isOfEndpoint = std::ranges::find(endpointTroubles, planned.trouble) != endpointTroubles.end();
        const bool isOfLink = planned.trouble == Trouble::LinkSilence || planned.trouble == Trouble::LinkReset || planned.trouble == Trouble::LinkRefusal;
        const std::size_t choices = isOfEndpoint ? endpointCount : settings.gateways;
        const auto chosen = static_cast<std::size_t>(dice.between(0, static_cast<std::int64_t>(choices) - 1));
        planned.target = isOfLink ? 0 : chosen;
        if (planned.trouble == Trouble::OwnStoreRefusal || planned.trouble == Trouble::OwnWatchSilence) {
            planned.duration *= ownStoreFactor;
        }
        if (planned.trouble == Trouble::EndpointAddition) {
            planned.version = dice.oneOf({"", "v2"});
        }
        if (!isOfLink || plan.hasLinks) {
            plan.troubles.push_back(planned);
        }
    }
}

} // namespace

std::string PlannedStream::namedAttempt(const std::string &firstAttempt, const std::string &latestAttempt) const
{
    switch (this->naming) {
    case Naming::First:
        return firstAttempt;
    case Naming::Latest:
        return latestAttempt;
    case Naming::None:
        return {};
    case Naming::Unknown:
        return this->id + "-never";
    case Naming::OtherStream:
        return this->otherAttempt;
    }
    return firstAttempt;
}

std::string PlannedStream::bytes(const std::string &attempt, const std::string &lastEvent, const std::string &resumes) const
{
    std::string text = "POST /" + std::string(nameIn(routeNames, this->route)) + "/" + this->folder + this->id + "?stream=" + this->id
        + "&work_ms=" + std::to_string(this->work.count()) + "&gap_ms=" + std::to_string(this->gap.count())
        + (this->fault == support::Behaviour::Normal ? "" : "&fault=" + std::to_string(static_cast<int>(this->fault)))
        + (this->eventBytes == 0 ? "" : "&event_bytes=" + std::to_string(this->eventBytes))
        + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nOleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:100\r\n"
          "Content-Length: 4\r\nOleandergate-Deadline-Ms: "
        + std::to_string(this->limit.count()) + "\r\nOleandergate-Request-Id: " + attempt + "\r\n";
    if (!this->program.empty()) {
        text += "Oleandergate-Program-Id: " + this->program + "\r\nOleandergate-Session-Id: " + this->program + "-main\r\n";
    }
    if (!lastEvent.empty()) {
        text += "Last-Event-Id: " + lastEvent + "\r\n" + (resumes.empty() ? "" : "Resumes: " + resumes + "\r\n");
    }
    return text + "\r\nbody";
}

std::size_t gatewaysOf(const StreamPlan &plan)
{
    return settingsOf(plan.installation).gateways + (plan.hasSpare ? 1 : 0);
}

StreamPlan makeStreamPlan(std::uint64_t seed, Installation installation)
{
    const InstallationSettings &settings = settingsOf(installation);
    soak::Dice dice(choicesOf(seed, installation));
    soak::Dice further(choicesOf(seed, installation) ^ furtherSeed);
    StreamPlan plan;
    plan.seed = seed;
    plan.installation = installation;
    plan.hasSpare = settings.isDense;
    plan.hasLinks = dice.percent(35);
    plan.hasCutters = dice.percent(50);
    plan.faultPercent = dice.oneOf({0, 10, 30});
    plan.length = settings.isLasting ? dice.time(22000, 28000) : dice.time(8000, 12000);
    addTroubles(dice, plan);
    if (!settings.releases.empty()) {
        addReleases(dice, plan);
    } else if (settings.isLasting) {
        addHalfReleases(dice, plan);
    } else if (dice.percent(50)) {
        addReplacements(dice, plan);
    }
    std::ranges::stable_sort(plan.troubles, {}, &PlannedTrouble::at);
    for (std::size_t caller = 0; caller < settings.callers; ++caller) {
        const bool hasProgram = dice.percent(settings.programs);
        std::vector<PlannedStream> &streams = plan.callers.emplace_back();
        Milliseconds at{0};
        for (std::size_t number = 0; number < streamsPerCaller; ++number) {
            streams.push_back(makeStream(dice, plan, caller, number));
            at += pauseBetweenStreams(further, settings);
            streams.back().at = at;
            chooseNaming(further, settings, seed, streams.back());
            if (further.percent(settings.hasty)) {
                streams.back().limit = hastyLimit;
            }
            if (further.percent(settings.large)) {
                streams.back().eventBytes = largeEventBytes;
            }
            if (settings.isDense) {
                streams.back().folder = folderNames[number % folderNames.size()];
                streams.back().maxAttempts = denseAttempts;
                streams.back().maxConnects = denseConnects;
            }
            streams.back().program = hasProgram ? "p-" + std::to_string(seed) + "-" + std::to_string(caller) : std::string();
        }
    }
    return plan;
}

} // namespace oleandergate::streamsoak
