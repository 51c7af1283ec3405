#include "agatevane/base/random.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/catalogue/freshness.h"
#include "agatevane/catalogue/view.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

namespace {

EntryUpdate update(const std::string& name, std::int64_t revision, double weight = 1)
{
    WorkspaceEntry entry { .id = { name }, .weight = weight };
    return { storeKeyOf({ EntryKind::Workspace, name }), revision, false, encodeEntry(entry) };
}

EntryUpdate deletion(const std::string& name, std::int64_t revision)
{
    return { storeKeyOf({ EntryKind::Workspace, name }), revision, true, {} };
}

//! The entries and tombstones in the store after `history`, which is ordered by revision.
std::map<std::string, EntryUpdate> finalState(const std::vector<EntryUpdate>& history)
{
    std::map<std::string, EntryUpdate> state;
    for (const auto& each : history)
        state[each.key] = each;
    return state;
}

std::vector<EntryUpdate> randomHistory(Random& random)
{
    std::vector<EntryUpdate> history;
    auto length = uniform(random, 1, 40);
    for (std::int64_t revision = 1; revision <= length; ++revision) {
        auto name = "w" + std::to_string(uniform(random, 0, 4));
        if (uniform(random, 0, 3) == 0)
            history.push_back(deletion(name, revision));
        else
            history.push_back(update(name, revision, static_cast<double>(revision)));
    }
    return history;
}

bool matches(const CatalogueView& view, const std::map<std::string, EntryUpdate>& state)
{
    std::size_t live = 0;
    for (const auto& [key, entry] : state) {
        const auto* found = view.find(*entryKeyOf(key));
        if (entry.isDeleted ? found != nullptr : !found || *found != entry)
            return false;
        live += entry.isDeleted ? 0 : 1;
    }
    return view.catalogue().workspaces.size() == live;
}

} // namespace

// Guards against a change that is reverted by an older update that arrives late, twice or from another source.
RC_BOOST_PROP(a_view_ends_with_the_last_revision_for_any_order_of_updates, (std::uint64_t seed))
{
    Random random(seed);
    auto history = randomHistory(random);
    auto delivered = history;
    delivered.insert(delivered.end(), history.begin(), history.begin() + static_cast<long>(history.size() / 2));
    std::shuffle(delivered.begin(), delivered.end(), random);
    CatalogueView view;
    std::map<std::string, std::int64_t> seen;
    for (const auto& each : delivered) {
        view.apply(each);
        auto& newest = seen[each.key];
        newest = std::max(newest, each.revision);
        const auto* found = view.find(*entryKeyOf(each.key));
        RC_ASSERT((!found || found->revision == newest));
    }
    RC_ASSERT(matches(view, finalState(history)));
}

// Guards against updates that are lost in transit. A read of changes must either supply all missing changes or report
// that a full read is needed.
RC_BOOST_PROP(a_read_of_changes_or_a_full_read_supplies_lost_updates, (std::uint64_t seed))
{
    Random random(seed);
    auto history = randomHistory(random);
    CatalogueView view;
    for (const auto& each : history) {
        if (uniform(random, 0, 1) == 0)
            view.apply(each);
    }
    auto state = finalState(history);
    std::vector<EntryUpdate> live;
    for (const auto& [key, entry] : state) {
        if (!entry.isDeleted)
            live.push_back(entry);
    }
    auto last = history.back().revision;
    if (!view.applyChanged(live, static_cast<std::int64_t>(live.size()), last))
        view.applyAll(live, last);
    RC_ASSERT(view.revision() == last);
    RC_ASSERT(matches(view, state));
}

// Guards against entries that are missing between two pages of a pull.
RC_BOOST_PROP(pages_of_changes_contain_every_change, (std::uint64_t seed))
{
    Random random(seed);
    auto history = randomHistory(random);
    CatalogueView from;
    CatalogueView to;
    for (const auto& each : history)
        from.apply(each);
    std::int64_t since = 0;
    for (bool hasMore = true; hasMore;) {
        auto page = from.changesSince(since, 300, hasMore);
        for (const auto& each : page)
            to.apply(each);
        if (!page.empty())
            since = page.back().revision;
    }
    RC_ASSERT(matches(to, finalState(history)));
}

BOOST_AUTO_TEST_CASE(A_full_read_deletes_missing_entries_but_not_newer_ones, *boost::unit_test::label("view"))
{
    CatalogueView view;
    view.apply(update("old", 3));
    view.apply(update("new", 9));
    view.applyAll({ update("kept", 5) }, 7);
    BOOST_TEST(!view.find({ EntryKind::Workspace, "old" }));
    BOOST_TEST(view.find({ EntryKind::Workspace, "new" }));
    BOOST_TEST(!view.apply(update("old", 6)));
    BOOST_TEST(view.revision() == 7);
    BOOST_TEST(view.tombstonesSince() == 7);
}

// Guards against one entry written by a newer program version that makes the whole catalogue unusable.
BOOST_AUTO_TEST_CASE(The_last_readable_version_of_an_unreadable_entry_stays_in_force, *boost::unit_test::label("view"))
{
    CatalogueView view;
    view.apply(update("a", 1, 2));
    auto broken = update("a", 2);
    broken.value = "{}";
    BOOST_TEST(view.apply(broken));
    BOOST_TEST(view.catalogue().workspaces.at({ "a" })->weight == 2);
    BOOST_TEST(view.unreadable().size() == 1U);
    view.apply(update("a", 3, 4));
    BOOST_TEST(view.catalogue().workspaces.at({ "a" })->weight == 4);
    BOOST_TEST(view.unreadable().empty());
}

BOOST_AUTO_TEST_CASE(The_age_of_a_proof_counts_from_before_the_request_was_sent, *boost::unit_test::label("freshness"))
{
    Freshness freshness;
    Instant start {};
    BOOST_TEST(!isFresh(freshness, start));
    proveByStore(freshness, start);
    BOOST_TEST(isFresh(freshness, start + Millis(10000)));
    BOOST_TEST(!isFresh(freshness, start + Millis(10001)));
    // A late answer to an earlier request must not replace a newer proof.
    recordStatement(freshness, { "b" }, { start + Millis(5000), 1, Millis(9000), true });
    BOOST_TEST(isFresh(freshness, start + Millis(10000)));
    recordStatement(freshness, { "b" }, { start + Millis(9000), 1, Millis(1000), true });
    BOOST_TEST(isFresh(freshness, start + Millis(17900)));
    BOOST_TEST(!isFresh(freshness, start + Millis(18100)));
}

// Guards against a VM that counts as fresh while another VM, whose answer is missing, can accept changes.
BOOST_AUTO_TEST_CASE(Without_the_store_a_proof_needs_the_answer_of_every_VM, *boost::unit_test::label("freshness"))
{
    Freshness freshness;
    Instant start {};
    MemberId b { "b" };
    MemberId c { "c" };
    auto statementWithoutStore = [&](int atMs, std::int64_t revision) {
        return PeerStatement { start + Millis(atMs), revision, std::nullopt, false };
    };
    setListedVms(freshness, { b, c });
    recordStatement(freshness, b, statementWithoutStore(0, 1));
    recordStatement(freshness, c, statementWithoutStore(0, 1));
    BOOST_TEST(!proveWithoutStore(freshness, 1)); // A new process does not know the VMs that it replaced.
    proveByStore(freshness, start);
    recordStatement(freshness, b, statementWithoutStore(8000, 4));
    BOOST_TEST(!proveWithoutStore(freshness, 5)); // c has not answered.
    recordStatement(freshness, c, statementWithoutStore(9000, 6));
    BOOST_TEST(!proveWithoutStore(freshness, 5)); // c knows a newer change.
    BOOST_TEST(proveWithoutStore(freshness, 6));
    BOOST_TEST(isFresh(freshness, start + Millis(18000)));
    BOOST_TEST(!isFresh(freshness, start + Millis(18001)));
    // c leaves the list. It is not needed, since its last statement was that it did not reach the store.
    setListedVms(freshness, { b });
    recordStatement(freshness, b, statementWithoutStore(20000, 6));
    BOOST_TEST(proveWithoutStore(freshness, 6));
    // b leaves the list after it stated that it reaches the store. It may have accepted a change that no other VM
    // knows.
    recordStatement(freshness, b, { start + Millis(21000), 6, std::nullopt, true });
    setListedVms(freshness, { c });
    recordStatement(freshness, c, statementWithoutStore(22000, 6));
    BOOST_TEST(!proveWithoutStore(freshness, 6));
}
