#include "entry/administration.h"

#include "agatevane/base/error.h"

namespace agatevane::entry {

namespace {

    //! Leaves the writer time to read a change back if the store's answer was lost.
    constexpr Millis changeTimeout { 8000 };
    constexpr Millis statusTimeout { 2000 };
    constexpr Millis drainTimeout { 2000 };

    admin::ChangeStatus toAdminStatus(ChangeStatus status)
    {
        switch (status) {
        case ChangeStatus::Done:
            return admin::ChangeStatus::Accepted;
        case ChangeStatus::Conflict:
        case ChangeStatus::NotFound:
            return admin::ChangeStatus::Conflict;
        case ChangeStatus::Invalid:
            return admin::ChangeStatus::Invalid;
        case ChangeStatus::Unavailable:
            return admin::ChangeStatus::Unavailable;
        case ChangeStatus::Unknown:
            return admin::ChangeStatus::Unknown;
        }
        return admin::ChangeStatus::Unknown;
    }

} // namespace

Administration::Administration(asio::io_context& context, const Settings& settings, store::Client& store,
    CatalogueSource& catalogueSource, const PublishedCatalogue& catalogue, SchedulerClient& schedulerClient,
    const membership::Service& members, std::function<void()> drainThisVm)
    : self_(settings.name)
    , catalogueSource_(catalogueSource)
    , catalogue_(catalogue)
    , schedulerClient_(schedulerClient)
    , membership_(members)
    , writer_(store, catalogueSource.feed())
    , drainThisVm_(std::move(drainThisVm))
{
    for (const auto& [member, address] : settings.peers)
        peers_.emplace(member, std::make_unique<net::RpcClient>(context, address));
}

admin::Functions Administration::functions()
{
    admin::Functions functions;
    functions.findCallerByTokenDigest = [this](const std::string& digest) -> std::optional<CallerEntry> {
        auto snapshot = catalogue_.load();
        auto found = snapshot->callersByTokenDigest.find(digest);
        if (found == snapshot->callersByTokenDigest.end())
            return std::nullopt;
        return *found->second;
    };
    functions.catalogue = [this] { return storedCatalogue(); };
    functions.findEntry = [this](EntryKind kind, const std::string& name) { return findEntry(kind, name); };
    functions.change = [this](const admin::Change& wanted) { return change(wanted); };
    functions.dataCentres = [this] { return dataCentres(); };
    functions.members = [this] {
        auto members = membership_.members();
        membership::Member self;
        self.record = membership_.self();
        self.catalogueRevision = static_cast<std::uint64_t>(catalogueSource_.feed().status().revision);
        members.push_back(std::move(self));
        return members;
    };
    functions.drain = [this](const MemberId& vm) { return drain(vm); };
    return functions;
}

admin::StoredCatalogue Administration::storedCatalogue() const
{
    auto current = catalogueSource_.feed().current();
    std::vector<EntryKey> keys;
    auto append = [&keys](const auto& entries) {
        for (const auto& [id, entry] : entries)
            keys.push_back(keyOf(Entry(*entry)));
    };
    append(current->workspaces);
    append(current->callers);
    append(current->services);
    append(current->dataCentres);
    append(current->links);
    keys.push_back({ EntryKind::Policy, "default" });
    admin::StoredCatalogue stored { .revision = current->revision };
    for (const auto& key : keys) {
        if (auto entry = findEntry(key.kind, key.name))
            stored.entries.push_back(std::move(*entry));
    }
    return stored;
}

std::optional<admin::StoredEntry> Administration::findEntry(EntryKind kind, const std::string& name) const
{
    auto update = catalogueSource_.feed().find({ kind, name });
    if (!update || update->isDeleted)
        return std::nullopt;
    return admin::StoredEntry { kind, name, update->revision, update->value };
}

admin::ChangeResult Administration::change(const admin::Change& wanted)
{
    CatalogueChange change {
        .key = { wanted.kind, wanted.name }, .value = wanted.json, .expectedRevision = wanted.expectedRevision
    };
    auto written = writer_.apply(change, now() + changeTimeout);
    admin::ChangeResult result;
    result.status = toAdminStatus(written.status);
    result.revision = written.revision;
    result.findings = std::move(written.findings);
    if (written.current)
        result.current
            = admin::StoredEntry { wanted.kind, wanted.name, written.currentRevision, std::move(*written.current) };
    return result;
}

std::vector<admin::DataCentreStatus> Administration::dataCentres()
{
    std::vector<admin::DataCentreStatus> statuses;
    auto snapshot = catalogueSource_.feed().current();
    auto deadline = now() + statusTimeout;
    for (const auto& [id, entry] : snapshot->dataCentres)
        statuses.push_back({ entry->id, schedulerClient_.shardStatus(entry->id, deadline) });
    return statuses;
}

admin::DrainStatus Administration::drain(const MemberId& vm)
{
    if (vm == self_) {
        drainThisVm_();
        return admin::DrainStatus::Started;
    }
    auto peer = peers_.find(vm);
    if (peer == peers_.end())
        return admin::DrainStatus::NoSuchVm;
    std::string reply;
    auto error
        = peer->second->callAndWait(static_cast<std::uint16_t>(MessageKind::DrainVm), {}, now() + drainTimeout, reply);
    if (error == Errc::Unreachable)
        return admin::DrainStatus::Unreachable;
    return error || reply.empty() ? admin::DrainStatus::Unknown : admin::DrainStatus::Started;
}

} // namespace agatevane::entry
