#include "agatevane/run_times/model.h"

#include "agatevane/base/hash.h"
#include <limits>

namespace agatevane::run_times {

namespace {

    //! Factor applied to the weight of older samples with each new one, if those are rare: about the last 50 count.
    constexpr double decayPerSample = 0.98;
    //! Weight of `minSamples` samples, of which the older ones have lost some: 9.146.
    constexpr double minWeight = 9.14;
    static_assert(minWeight < minSamples);
    //! Where samples are frequent, older ones lose their weight in this time, so that a change in run times shows soon.
    constexpr Millis minMemory { 60000 };
    //! ... but not before runs many times as long as the new one could have ended, or long runs would not show beside
    //! many short ones.
    constexpr std::int64_t memoryPerDuration = 10;
    //! A group without a sample for this long may be replaced by another.
    constexpr Millis idleBeforeReplaced { 600000 };
    constexpr double lowQuantile = 0.1;
    constexpr double highQuantile = 0.9;
    //! Weight below which the samples of long runs say nothing about how long such a run goes on.
    constexpr double minTailWeight = 0.5;
    constexpr std::int64_t longestMs = 1'000'000'000'000'000;

    //! The bucket whose upper edge is the nearest to the value, so that a ratio close to 1 counts as 1.
    template <typename Counts> int nearestBucket(double value)
    {
        return bucketOf<Counts>(value * std::exp2(-0.5 / bucketsPerOctave));
    }

    double ratioOf(std::int64_t durationMs, std::int64_t declaredMs)
    {
        return static_cast<double>(durationMs) / static_cast<double>(declaredMs);
    }

    std::int64_t toMs(double ms)
    {
        return static_cast<std::int64_t>(std::llround(std::clamp(ms, 0.0, static_cast<double>(longestMs))));
    }

    template <typename Counts> int spreadOf(const Counts& histogram)
    {
        return quantileBucket(histogram, highQuantile, histogram.total)
            - quantileBucket(histogram, lowQuantile, histogram.total);
    }

    //! True if the histogram's range holds most of the samples.
    template <typename Counts> bool isWithinRange(const Counts& histogram)
    {
        return quantileBucket(histogram, lowQuantile, histogram.total) > 0
            && quantileBucket(histogram, highQuantile, histogram.total) < Counts::size - 1;
    }

    template <typename Counts> bool hasEnough(const Counts& histogram)
    {
        return histogram.total >= minWeight;
    }

    Instant lastUseOf(const Group& group)
    {
        return group.lastAt;
    }

    Instant lastUseOf(const QueueGroups& queue)
    {
        return queue.whole.lastAt;
    }

    //! The entry of the name; null if there is none and no room for it.
    template <typename Entry>
    Entry* findOrAdd(std::map<std::uint64_t, Entry>& entries, std::uint64_t name, std::size_t most, Instant at)
    {
        if (auto found = entries.find(name); found != entries.end())
            return &found->second;
        if (entries.size() >= most) {
            auto idlest = std::min_element(entries.begin(), entries.end(),
                [](const auto& a, const auto& b) { return lastUseOf(a.second) < lastUseOf(b.second); });
            if (at - lastUseOf(idlest->second) < idleBeforeReplaced)
                return nullptr;
            entries.erase(idlest);
        }
        return &entries[name];
    }

    void decayAndAdd(Group& group, const Kind& kind, std::int64_t durationMs, Instant at)
    {
        auto memory = std::max(minMemory, Millis(durationMs) * memoryPerDuration);
        auto passed = std::chrono::duration<double>(std::max(at - group.lastAt, Instant::duration(0)));
        auto decay = std::max(decayPerSample, std::exp(-passed / std::chrono::duration<double>(memory)));
        group.logDecay += std::log(decay);
        group.lastAt = at;
        auto factor = static_cast<float>(decay);
        addToBucket(group.durations, nearestBucket<DurationHistogram>(static_cast<double>(durationMs)), factor);
        if (kind.declaredMs > 0)
            addToBucket(group.ratios, nearestBucket<RatioHistogram>(ratioOf(durationMs, kind.declaredMs)), factor);
        else
            run_times::decay(group.ratios, factor);
    }

    void enter(Model& model, Group& group, const Kind& kind, Sample::Place& place, std::int64_t durationMs, Instant at)
    {
        if (group.id == 0) {
            group.id = ++model.lastGroupId;
            group.lastAt = at;
        }
        decayAndAdd(group, kind, durationMs, at);
        place = { group.id, group.logDecay };
        updateUse(group);
    }

    void add(Model& model, const Kind& kind, Sample& sample, std::int64_t durationMs, Instant at)
    {
        auto* queue = findOrAdd(model.queues, hash64(kind.queue), maxQueues, at);
        if (!queue)
            return;
        enter(model, queue->whole, kind, sample.queue, durationMs, at);
        if (auto* workspace = findOrAdd(queue->workspaces, hash64(kind.workspace), maxWorkspacesPerQueue, at))
            enter(model, *workspace, kind, sample.workspace, durationMs, at);
    }

    void raise(
        Group& group, const Kind& kind, const Sample::Place& place, std::int64_t fromMs, std::int64_t toDurationMs)
    {
        if (group.id != place.group)
            return;
        auto weight = static_cast<float>(std::exp(group.logDecay - place.logDecay));
        moveSample(group.durations, nearestBucket<DurationHistogram>(static_cast<double>(fromMs)),
            nearestBucket<DurationHistogram>(static_cast<double>(toDurationMs)), weight);
        if (kind.declaredMs > 0)
            moveSample(group.ratios, nearestBucket<RatioHistogram>(ratioOf(fromMs, kind.declaredMs)),
                nearestBucket<RatioHistogram>(ratioOf(toDurationMs, kind.declaredMs)), weight);
        updateUse(group);
    }

    //! Nothing if the group has too few samples for this kind.
    std::optional<Estimate> estimateFrom(const Group& group, const Kind& kind, Source source)
    {
        if (kind.declaredMs > 0 && group.areRatiosPreferred)
            return Estimate { source, group.ratios.total, kind.declaredMs, &group, true };
        if (group.areDurationsUsable)
            return Estimate { source, group.durations.total, kind.declaredMs, &group, false };
        return std::nullopt;
    }

    //! A value of the group's histogram in milliseconds.
    template <typename Counts> double msOf(const Estimate& estimate, int bucket)
    {
        auto value = upperEdge<Counts>(bucket);
        return estimate.isByRatio ? value * static_cast<double>(estimate.declaredMs) : value;
    }

    template <typename Counts>
    std::int64_t remainingIn(const Estimate& estimate, const Counts& histogram, std::int64_t elapsedMs, double fraction)
    {
        auto unit = estimate.isByRatio ? static_cast<double>(estimate.declaredMs) : 1;
        auto first = nearestBucket<Counts>(static_cast<double>(elapsedMs) / unit) + 1;
        auto weight = first < Counts::size ? weightFrom(histogram, first) : 0;
        if (weight < minTailWeight)
            return elapsedMs;
        auto bucket = quantileBucket(histogram, fraction, weight, first);
        return std::max<std::int64_t>(0, toMs(msOf<Counts>(estimate, bucket)) - elapsedMs);
    }

} // namespace

Estimate estimate(const Model& model, const Kind& kind)
{
    Estimate declared;
    declared.declaredMs = kind.declaredMs;
    auto queue = model.queues.find(hash64(kind.queue));
    if (queue == model.queues.end())
        return declared;
    auto workspace = queue->second.workspaces.find(hash64(kind.workspace));
    std::optional<Estimate> learned;
    if (workspace != queue->second.workspaces.end())
        learned = estimateFrom(workspace->second, kind, Source::Workspace);
    if (!learned)
        learned = estimateFrom(queue->second.whole, kind, Source::Queue);
    return learned.value_or(declared);
}

std::int64_t quantileMs(const Estimate& estimate, double fraction)
{
    if (!estimate.group)
        return estimate.declaredMs;
    const auto& ratios = estimate.group->ratios;
    const auto& durations = estimate.group->durations;
    return toMs(estimate.isByRatio
            ? msOf<RatioHistogram>(estimate, quantileBucket(ratios, fraction, ratios.total))
            : msOf<DurationHistogram>(estimate, quantileBucket(durations, fraction, durations.total)));
}

std::optional<std::int64_t> remainingMs(const Estimate& estimate, std::int64_t elapsedMs, double fraction)
{
    if (!estimate.group)
        return std::nullopt;
    return estimate.isByRatio ? remainingIn(estimate, estimate.group->ratios, elapsedMs, fraction)
                              : remainingIn(estimate, estimate.group->durations, elapsedMs, fraction);
}

void setDuration(Model& model, const Kind& kind, Sample& sample, std::int64_t durationMs, Instant at)
{
    durationMs = std::clamp<std::int64_t>(durationMs, 1, longestMs);
    ++model.changes;
    if (sample.durationMs == 0) {
        add(model, kind, sample, durationMs, at);
    } else if (auto queue = model.queues.find(hash64(kind.queue)); queue != model.queues.end()) {
        raise(queue->second.whole, kind, sample.queue, sample.durationMs, durationMs);
        auto workspace = queue->second.workspaces.find(hash64(kind.workspace));
        if (workspace != queue->second.workspaces.end())
            raise(workspace->second, kind, sample.workspace, sample.durationMs, durationMs);
    }
    sample.durationMs = durationMs;
}

void updateUse(Group& group)
{
    group.areDurationsUsable = hasEnough(group.durations) && isWithinRange(group.durations);
    // On a tie ratios are preferred, since they also hold for steps that are longer or shorter than most.
    group.areRatiosPreferred = hasEnough(group.ratios) && isWithinRange(group.ratios)
        && (!group.areDurationsUsable || spreadOf(group.ratios) <= spreadOf(group.durations));
}

} // namespace agatevane::run_times
