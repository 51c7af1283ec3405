#include "../admin/fake_entry.h"
#include "ctl/catalogue_files.h"
#include "ctl/commands.h"
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace agatevane;

namespace {

struct OperatorSession {
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

BOOST_AUTO_TEST_CASE(A_file_is_compared_and_not_written_again_if_unchanged, *boost::unit_test::label("catalogue"))
{
    OperatorSession session;
    File file("a.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    BOOST_TEST(ctl::diffEntries(session.context, { file.path }) == ctl::Differs);
    BOOST_TEST(session.out.str().find("workspaces/north/weight: 1.0 -> 2.0") != std::string::npos, session.out.str());
    BOOST_TEST(ctl::setEntries(session.context, { file.path }) == ctl::Success, session.err.str());
    BOOST_TEST(ctl::diffEntries(session.context, { file.path }) == ctl::Success);
    auto revision = session.entry.revision;
    BOOST_TEST(ctl::setEntries(session.context, { file.path }) == ctl::Success);
    BOOST_TEST(session.entry.revision == revision);
    BOOST_TEST(ctl::deleteEntry(session.context, EntryKind::Workspace, "north") == ctl::Success);
    BOOST_TEST(ctl::getEntry(session.context, EntryKind::Workspace, "north") == ctl::NotFound);
}

// Guards against writing the entries of valid files when another file of the same command is invalid.
BOOST_AUTO_TEST_CASE(One_invalid_file_prevents_all_files_from_being_applied, *boost::unit_test::label("catalogue"))
{
    OperatorSession session;
    File good("good.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    File bad("bad.json", R"({"workspaces": [{"weight": 2}], "planets": []})");
    auto revision = session.entry.revision;
    BOOST_TEST(ctl::setEntries(session.context, { good.path, bad.path, "no_such_file" }) == ctl::Invalid);
    BOOST_TEST(session.entry.revision == revision);
    for (const char* text :
        { "bad.json: workspaces/0/id: missing", "bad.json: planets: unknown", "no_such_file: cannot" })
        BOOST_TEST(session.err.str().find(text) != std::string::npos, text);
}

// Guards against accepting a file whose entries are each valid but contradict each other or the catalogue in force.
BOOST_AUTO_TEST_CASE(Findings_name_the_file_the_entry_and_the_field, *boost::unit_test::label("catalogue"))
{
    OperatorSession session;
    File fields("d.json", R"({"workspaces": [{"id": "west", "weight": 5000, "wieght": 1}]})");
    BOOST_TEST(ctl::validateEntries(session.context, { fields.path }) == ctl::Invalid);
    for (const char* text : { "d.json: workspaces/west/weight: ", "d.json: workspaces/west/wieght: " })
        BOOST_TEST(session.err.str().find(text) != std::string::npos, session.err.str());
    File reference(
        "e.json", R"({"workspaces": [{"id": "west", "guarantees": [{"dataCentre": "nowhere", "accelerators": 1}]}]})");
    BOOST_TEST(ctl::validateEntries(session.context, { reference.path }) == ctl::Invalid);
    BOOST_TEST(session.err.str().find("e.json: workspaces/west/guarantees") != std::string::npos, session.err.str());
}

BOOST_AUTO_TEST_CASE(Exit_codes_state_the_outcome_of_a_request, *boost::unit_test::label("exit"))
{
    OperatorSession session;
    File file("c.json", R"({"workspaces": [{"id": "north", "owner": "north", "weight": 2}]})");
    session.entry.forcedStatus = admin::ChangeStatus::Unknown;
    BOOST_TEST(ctl::setEntries(session.context, { file.path }) == ctl::Unknown);
    session.entry.forcedStatus = admin::ChangeStatus::Unavailable;
    BOOST_TEST(ctl::setEntries(session.context, { file.path }) == ctl::Refused);
    session.context.token = "nobody";
    BOOST_TEST(ctl::listMembers(session.context) == ctl::Refused);
    BOOST_TEST(session.err.str().find("AGATEVANE_TOKEN") != std::string::npos);
    session.context.token = "root";
    BOOST_TEST(ctl::showJob(session.context, "../catalogue") == ctl::BadUsage);
    BOOST_TEST(ctl::drain(session.context, "entry-1") == ctl::Success);
    BOOST_TEST(ctl::listMembers(session.context) == ctl::Success);
    BOOST_TEST(session.out.str().find("suspected") != std::string::npos);
    session.context.entry.port = 1;
    BOOST_TEST(ctl::showFleet(session.context) == ctl::Unreachable);
}
