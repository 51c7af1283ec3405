#include "node/unreadable_records.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/registry.h"

namespace agatevane::node {

void reportUnreadableRecord(const kv::Item& item, fleet::RecordFault fault)
{
    event_log::Line("record_unreadable")
        .with("key", item.key)
        .with("revision", item.revision)
        .with("bytes", item.value.size())
        .with("fault", nameOf(fault));
    metrics::registry()
        .counter("agatevane_records_unreadable_total", "Reads of stored records that this build can't decode",
            { { "fault", std::string(nameOf(fault)) } })
        .add();
}

} // namespace agatevane::node
