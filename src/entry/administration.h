#pragma once

#include "agatevane/admin/admin.h"
#include "agatevane/catalogue_writer/catalogue_writer.h"
#include "agatevane/membership/service.h"
#include "entry/catalogue_snapshot.h"
#include "entry/catalogue_source.h"
#include "entry/scheduler_client.h"
#include "entry/settings.h"

namespace agatevane::entry {

//! Implements the functions behind the administration routes.
class Administration {
public:
    Administration(asio::io_context& context, const Settings& settings, store::Client& store,
        CatalogueSource& catalogueSource, const PublishedCatalogue& catalogue, SchedulerClient& schedulerClient,
        const membership::Service& members, std::function<void()> drainThisVm);

    //! Returns functions that refer to this object, so that they must not outlive it.
    admin::Functions functions();

private:
    admin::StoredCatalogue storedCatalogue() const;
    std::optional<admin::StoredEntry> findEntry(EntryKind kind, const std::string& name) const;
    admin::ChangeResult change(const admin::Change& change);
    std::vector<admin::DataCentreStatus> dataCentres();
    admin::DrainStatus drain(const MemberId& vm);

    MemberId self_;
    CatalogueSource& catalogueSource_;
    const PublishedCatalogue& catalogue_;
    SchedulerClient& schedulerClient_;
    const membership::Service& membership_;
    CatalogueWriter writer_;
    std::map<MemberId, std::unique_ptr<net::RpcClient>> peers_;
    std::function<void()> drainThisVm_;
};

} // namespace agatevane::entry
