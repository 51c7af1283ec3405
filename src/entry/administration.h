#pragma once

#include "agatevane/admin/admin.h"
#include "agatevane/catalogue_writer/catalogue_writer.h"
#include "agatevane/membership/service.h"
#include "entry/catalogue_snapshot.h"
#include "entry/catalogue_source.h"
#include "entry/scheduler_client.h"
#include "entry/settings.h"

namespace agatevane::entry {

//! Carries out what the administration interface asks for.
class Administration {
public:
    Administration(asio::io_context& context, const Settings& settings, store::Client& store, CatalogueSource& source,
        const CatalogueHolder& catalogue, SchedulerClient& schedulers, const membership::Service& members,
        std::function<void()> drainThisVm);

    //! The functions refer to this object.
    admin::Functions functions();

private:
    admin::StoredCatalogue storedCatalogue() const;
    std::optional<admin::StoredEntry> findEntry(EntryKind kind, const std::string& name) const;
    admin::ChangeResult change(const admin::Change& change);
    std::vector<admin::DataCentreStatus> dataCentres();
    admin::DrainStatus drain(const MemberId& vm);

    MemberId self_;
    CatalogueSource& source_;
    const CatalogueHolder& catalogue_;
    SchedulerClient& schedulers_;
    const membership::Service& members_;
    CatalogueWriter writer_;
    std::map<MemberId, std::unique_ptr<net::RpcClient>> peers_;
    std::function<void()> drainThisVm_;
};

} // namespace agatevane::entry
