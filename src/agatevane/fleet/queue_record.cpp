#include "agatevane/fleet/queue_record.h"

#include "agatevane/base/hash.h"
#include "agatevane/net/archive.h"
#include <limits>

namespace agatevane::fleet {

namespace {

    constexpr std::uint8_t recordVersion = 1;

    struct QueueRecord {
        std::uint8_t version = recordVersion;
        desired_state::Queue queue;

        template <typename Archive> void serialize(Archive& archive)
        {
            auto baseMs = static_cast<std::int64_t>(queue.objectiveBase.count());
            archive(version, queue.name, queue.host, queue.prefix, queue.service, queue.priority, queue.maxAttempts,
                queue.objectiveFactor, queue.allowsAnonymous, queue.needsTickets, baseMs);
            queue.objectiveBase = Millis(baseMs);
        }
    };

} // namespace

std::string queueKey(const std::string& name)
{
    return queuePrefix + digestOf(name);
}

std::string encodeQueue(const desired_state::Queue& queue)
{
    return net::encode(QueueRecord { recordVersion, queue });
}

std::optional<desired_state::Queue> decodeQueue(std::string_view bytes)
{
    QueueRecord record;
    if (!net::decode(bytes, record) || record.version != recordVersion)
        return std::nullopt;
    return std::move(record.queue);
}

desired_state::Queue unknownQueue(const std::string& name)
{
    desired_state::Queue queue;
    queue.name = name;
    queue.priority = queue.maxAttempts = std::numeric_limits<int>::max();
    return queue;
}

} // namespace agatevane::fleet
