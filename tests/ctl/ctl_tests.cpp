#include "../admin/fake_entry.h"
#include "ctl/catalogue_files.h"
#include "ctl/commands.h"
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace agatevane;

namespace {

struct Operator {
    admin::FakeEntry entry;
    std::ostringstream out;
    std::ostringstream err;
    ctl::Context context { .entry = { "127.0.0.1", entry.server.port() }, .token = "root", .out = out, .err = err };
};

struct File {
    std::string path;

    File(const std::string& name, const std::string& text)
        : path("ctl_test_" + name)
    {
        std::ofstream(path) << text;
    }
    ~File() { std::remove(path.c_str()); }
};

} // namespace

BOOST_AUTO_TEST_CASE(A_file_is_compared_and_written_once, *boost::unit_test::label("catalogue"))
{
    Operator user;
    File file("a.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    BOOST_TEST(ctl::diffEntries(user.context, { file.path }) == ctl::Differs);
    BOOST_TEST(user.out.str().find("workspaces/north/weight: 1.0 -> 2.0") != std::string::npos, user.out.str());
    BOOST_TEST(ctl::setEntries(user.context, { file.path }) == ctl::Success, user.err.str());
    BOOST_TEST(ctl::diffEntries(user.context, { file.path }) == ctl::Success);
    auto revision = user.entry.revision;
    BOOST_TEST(ctl::setEntries(user.context, { file.path }) == ctl::Success);
    BOOST_TEST(user.entry.revision == revision);
    BOOST_TEST(ctl::deleteEntry(user.context, EntryKind::Workspace, "north") == ctl::Success);
    BOOST_TEST(ctl::getEntry(user.context, EntryKind::Workspace, "north") == ctl::NotFound);
}

// Guards against a half-applied set of files.
BOOST_AUTO_TEST_CASE(One_wrong_file_keeps_all_from_being_applied, *boost::unit_test::label("catalogue"))
{
    Operator user;
    File good("good.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    File bad("bad.json", R"({"workspaces": [{"weight": 2}], "planets": []})");
    auto revision = user.entry.revision;
    BOOST_TEST(ctl::setEntries(user.context, { good.path, bad.path, "no_such_file" }) == ctl::Invalid);
    BOOST_TEST(user.entry.revision == revision);
    for (const char* text :
        { "bad.json: workspaces/0/id: missing", "bad.json: planets: unknown", "no_such_file: cannot" })
        BOOST_TEST(user.err.str().find(text) != std::string::npos, text);
}

// Guards against a file that each entry's own check passes, but that contradicts itself or the catalogue in force.
BOOST_AUTO_TEST_CASE(Findings_name_file_entry_and_field, *boost::unit_test::label("catalogue"))
{
    Operator user;
    File fields("d.json", R"({"workspaces": [{"id": "west", "weight": 5000, "wieght": 1}]})");
    BOOST_TEST(ctl::validateEntries(user.context, { fields.path }) == ctl::Invalid);
    for (const char* text : { "d.json: workspaces/west/weight: ", "d.json: workspaces/west/wieght: " })
        BOOST_TEST(user.err.str().find(text) != std::string::npos, user.err.str());
    File reference(
        "e.json", R"({"workspaces": [{"id": "west", "guarantees": [{"dataCentre": "nowhere", "accelerators": 1}]}]})");
    BOOST_TEST(ctl::validateEntries(user.context, { reference.path }) == ctl::Invalid);
    BOOST_TEST(user.err.str().find("e.json: workspaces/west/guarantees") != std::string::npos, user.err.str());
}

BOOST_AUTO_TEST_CASE(Exit_codes_tell_what_became_of_a_request, *boost::unit_test::label("exit"))
{
    Operator user;
    File file("c.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    user.entry.forced = admin::ChangeStatus::Unknown;
    BOOST_TEST(ctl::setEntries(user.context, { file.path }) == ctl::Unknown);
    user.entry.forced = admin::ChangeStatus::Unavailable;
    BOOST_TEST(ctl::setEntries(user.context, { file.path }) == ctl::Refused);
    user.context.token = "nobody";
    BOOST_TEST(ctl::listMembers(user.context) == ctl::Refused);
    BOOST_TEST(user.err.str().find("AGATEVANE_TOKEN") != std::string::npos);
    user.context.token = "root";
    BOOST_TEST(ctl::showJob(user.context, "../catalogue") == ctl::BadUsage);
    BOOST_TEST(ctl::drain(user.context, "entry-1") == ctl::Success);
    BOOST_TEST(ctl::listMembers(user.context) == ctl::Success);
    BOOST_TEST(user.out.str().find("suspected") != std::string::npos);
    user.context.entry.port = 1;
    BOOST_TEST(ctl::showFleet(user.context) == ctl::Unreachable);
}
