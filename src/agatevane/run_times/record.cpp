#include "agatevane/run_times/record.h"

#include "agatevane/base/hash.h"
#include "agatevane/net/archive.h"
#include <vector>

namespace agatevane::run_times {

namespace {

    constexpr std::uint8_t recordVersion = 1;
    //! Weight in the record of the bucket with the most samples; buckets that round to 0 are left out.
    constexpr float topShare = 255;
    //! Samples of an earlier process count for at most this many, so that a change in run times soon shows.
    constexpr float maxInheritedWeight = 50;

    struct BucketRecord {
        std::uint8_t bucket = 0;
        std::uint8_t share = 0;

        template <typename Archive> void serialize(Archive& archive) { archive(bucket, share); }
    };

    struct HistogramRecord {
        float total = 0;
        std::vector<BucketRecord> buckets;

        template <typename Archive> void serialize(Archive& archive) { archive(total, buckets); }
    };

    struct GroupRecord {
        std::uint64_t queue = 0;
        std::uint64_t workspace = 0;
        bool isWhole = false; //!< of the queue; `workspace` means nothing
        HistogramRecord ratios;
        HistogramRecord durations;

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(queue, workspace, isWhole, ratios, durations);
        }
    };

    template <typename Counts> HistogramRecord recordOf(const Counts& histogram)
    {
        static_assert(Counts::size <= 256);
        HistogramRecord record;
        auto most = *std::max_element(histogram.counts.begin(), histogram.counts.end());
        if (!(most > 0))
            return record;
        record.total = histogram.total;
        for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
            auto share = static_cast<std::uint8_t>(std::lround(histogram.counts[bucket] / most * topShare));
            if (share > 0)
                record.buckets.push_back({ static_cast<std::uint8_t>(bucket), share });
        }
        return record;
    }

    //! False if the record can't be one of this histogram.
    template <typename Counts> bool restore(const HistogramRecord& record, Counts& histogram)
    {
        float sum = 0;
        for (const auto& [bucket, share] : record.buckets) {
            if (bucket >= Counts::size || share == 0 || histogram.counts[bucket] > 0)
                return false;
            histogram.counts[bucket] = share;
            sum += share;
        }
        if (!(record.total >= 0) || !std::isfinite(record.total) || (sum > 0) != (record.total > 0))
            return false;
        histogram.total = std::min(record.total, maxInheritedWeight);
        for (float& count : histogram.counts)
            count *= sum > 0 ? histogram.total / sum : 0;
        return true;
    }

    GroupRecord recordOf(std::uint64_t queue, std::uint64_t workspace, bool isWhole, const Group& group)
    {
        return { queue, workspace, isWhole, recordOf(group.ratios), recordOf(group.durations) };
    }

    //! All groups in the order in which they matter: those of queues, then those with the most samples.
    std::vector<GroupRecord> recordsOf(const Model& model)
    {
        std::vector<GroupRecord> records;
        for (const auto& [queue, groups] : model.queues) {
            records.push_back(recordOf(queue, 0, true, groups.whole));
            for (const auto& [workspace, group] : groups.workspaces)
                records.push_back(recordOf(queue, workspace, false, group));
        }
        std::stable_sort(records.begin(), records.end(), [](const GroupRecord& a, const GroupRecord& b) {
            return std::pair(a.isWhole, a.durations.total) > std::pair(b.isWhole, b.durations.total);
        });
        return records;
    }

    bool restore(const GroupRecord& record, Model& model, Instant at)
    {
        auto queue = record.isWhole ? model.queues.try_emplace(record.queue).first : model.queues.find(record.queue);
        if (queue == model.queues.end())
            return false;
        auto& groups = queue->second;
        auto& group = record.isWhole ? groups.whole : groups.workspaces[record.workspace];
        bool isRepeated = group.id != 0;
        group.id = ++model.lastGroupId;
        group.lastAt = at;
        if (isRepeated || !restore(record.ratios, group.ratios) || !restore(record.durations, group.durations))
            return false;
        updateUse(group);
        return model.queues.size() <= maxQueues && groups.workspaces.size() <= maxWorkspacesPerQueue;
    }

} // namespace

std::string encodeModel(const Model& model)
{
    std::string body = net::encode(recordVersion);
    for (const auto& record : recordsOf(model)) {
        auto bytes = net::encode(record);
        if (body.size() + bytes.size() + sizeof(std::uint64_t) > maxRecordBytes)
            break;
        body += bytes;
    }
    return body + net::encode(hash64(body));
}

std::optional<Model> decodeModel(std::string_view record, Instant at)
{
    if (record.size() < sizeof recordVersion + sizeof(std::uint64_t) || record.size() > maxRecordBytes)
        return std::nullopt;
    auto body = record.substr(0, record.size() - sizeof(std::uint64_t));
    std::uint64_t checksum = 0;
    if (!net::decode(record.substr(body.size()), checksum) || checksum != hash64(body))
        return std::nullopt;
    Model model;
    try {
        net::InputArchive archive(body);
        std::uint8_t version = 0;
        archive(version);
        if (version != recordVersion)
            return std::nullopt;
        while (archive.remaining() > 0) {
            GroupRecord group;
            archive(group);
            if (!restore(group, model, at))
                return std::nullopt;
        }
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return model;
}

} // namespace agatevane::run_times
