#include "agatevane/catalogue/catalogue.h"
#include "agatevane/catalogue/codec.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

namespace {

WorkerEntry worker(const std::string& id, const std::string& rack, int accelerators = 8)
{
    return { .id = { id }, .rack = { rack }, .address = id + ":1", .capacity = { accelerators, 1, 1 } };
}

//! One data centre with two racks of 16 and 8 accelerators. 8 accelerators can be guaranteed, since guarantees must
//! hold without the largest rack.
Catalogue sampleCatalogue()
{
    Catalogue catalogue;
    insert(catalogue,
        DataCentreEntry {
            { "harju" }, { "north" }, "", { worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r2") } });
    insert(catalogue, WorkspaceEntry { .id = { "small" }, .guarantees = { { { "harju" }, 8 } } });
    insert(catalogue, CallerEntry { .id = { "c" }, .workspace = { "small" }, .tokenDigest = std::string(64, 'a') });
    return catalogue;
}

std::string textOf(const Findings& findings)
{
    return format(findings);
}

bool mentions(const Findings& findings, const std::string& text)
{
    return textOf(findings).find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(Every_kind_of_entry_is_decoded_as_it_was_encoded, *boost::unit_test::label("codec"))
{
    std::vector<Entry> entries { WorkspaceEntry { { "a" }, "o", 2.5, { { { "d" }, 3 } }, 9, 1.5, 0.25 },
        CallerEntry { { "c" }, { "a" }, "o", std::string(64, 'f'), WorkClass::Batch, 3, true },
        ServiceEntry { { "s" }, "o", { 0.2, 0.3, 0.4 }, 7, 8, 9 },
        DataCentreEntry { { "d" }, { "r" }, "o", { worker("w", "k") } },
        LinkEntry { "l", "o", { "r" }, { "q" }, 8, 0.5 },
        PolicyEntry { "default", "o", 1000, 500, 7, 0.5, false, 0.1, 11, 13, 0.25, true } };
    for (const auto& entry : entries) {
        Entry result;
        auto findings = decodeEntry(keyOf(entry).kind, encodeEntry(entry), result);
        BOOST_TEST(textOf(findings) == "");
        BOOST_TEST((result == entry));
        BOOST_TEST((entryKeyOf(storeKeyOf(keyOf(entry))) == keyOf(entry)));
    }
}

// Guards against findings that an operator sees only one by one, after repairing the previous one.
BOOST_AUTO_TEST_CASE(All_findings_of_an_entry_are_reported_at_once, *boost::unit_test::label("codec"))
{
    Entry entry;
    auto findings = decodeEntry(EntryKind::DataCentre,
        R"({"id":"bad name","regoin":"x","workers":[
            {"id":"w","rack":"r","address":"a:1","capacity":{"accelerators":-1}},
            {"id":"w","rack":"","address":"a:1","slots":"8","capacity":{"accelerators":1,"gpus":2}}]})",
        entry);
    for (const auto* expected : { "/id: must be", "/region: missing", "/regoin: unknown field",
             "/workers/0/capacity/accelerators: -1 is outside", "/workers/1/id: \"w\" is used twice",
             "/workers/1/rack: must be", "/workers/1/address: \"a:1\" is used twice", "/workers/1/slots: must be",
             "/workers/1/capacity/gpus: unknown field" })
        BOOST_TEST(mentions(findings, expected), expected << " not in\n" << textOf(findings));
    findings = decodeEntry(EntryKind::Workspace,
        R"({"id":"a","weight":0,"quotaAccelerators":4,"guarantees":[{"dataCentre":"d","accelerators":5},
            {"dataCentre":"d","accelerators":1}]})",
        entry);
    for (const auto* expected :
        { "/weight: ", "/guarantees/0/accelerators: above", "/guarantees/1/dataCentre: listed" })
        BOOST_TEST(mentions(findings, expected), expected << " not in\n" << textOf(findings));
    findings = decodeEntry(EntryKind::Service, R"({"id":"s","classFloors":{"urgent":0.6,"batch":0.6}})", entry);
    BOOST_TEST(mentions(findings, "/classFloors: add up to more than 1"));
}

RC_BOOST_PROP(decoding_any_text_never_throws, (const std::string& text))
{
    Entry entry;
    for (const auto& [kind, name] : EnumNames<EntryKind>::table)
        RC_ASSERT(!decodeEntry(kind, text, entry).empty());
}

// Guards against a guarantee that cannot be met after the failure of one rack.
BOOST_AUTO_TEST_CASE(
    Guarantees_must_fit_into_the_data_centre_without_its_largest_rack, *boost::unit_test::label("validation"))
{
    auto before = sampleCatalogue();
    BOOST_TEST(textOf(validate(before)) == "");
    auto after = before;
    insert(after, WorkspaceEntry { .id = { "large" }, .guarantees = { { { "harju" }, 1 } } });
    BOOST_TEST(mentions(newFindings(before, after),
        "data_centres/harju/workers: guarantees of 9 accelerators exceed the 8 that remain"));
    // A finding that already exists does not block other changes.
    auto unrelated = after;
    insert(unrelated, ServiceEntry { .id = { "s" } });
    BOOST_TEST(newFindings(after, unrelated).empty());
}

BOOST_AUTO_TEST_CASE(Missing_references_and_duplicates_are_reported, *boost::unit_test::label("validation"))
{
    auto catalogue = sampleCatalogue();
    insert(catalogue, CallerEntry { .id = { "d" }, .workspace = { "gone" }, .tokenDigest = std::string(64, 'a') });
    auto duplicate = worker("w1", "r9");
    duplicate.service = { "missing" };
    insert(catalogue, DataCentreEntry { { "tartu" }, { "south" }, "", { duplicate } });
    insert(catalogue, LinkEntry { "l", "", { "north" }, { "west" }, 8, 0 });
    insert(catalogue, WorkspaceEntry { .id = { "x" }, .guarantees = { { { "nowhere" }, 1 } }, .floorShare = 0.6 });
    insert(catalogue, WorkspaceEntry { .id = { "y" }, .floorShare = 0.6 });
    auto findings = validate(catalogue);
    for (const auto* expected : { "callers/d/workspace: workspace \"gone\"", "callers/d/tokenDigest: caller \"c\"",
             "data_centres/tartu/workers/0/id: worker \"w1\"", "data_centres/tartu/workers/0/address",
             "data_centres/tartu/workers/0/service: service \"missing\"", "links/l/to: no data centre is in region",
             "workspaces/x/guarantees/0/dataCentre", "floors add up to 1.2" })
        BOOST_TEST(mentions(findings, expected), expected << " not in\n" << textOf(findings));
    erase(catalogue, { EntryKind::DataCentre, "harju" });
    BOOST_TEST(mentions(validate(catalogue), "workspaces/small/guarantees/0/dataCentre"));
}
