#include "agatevane/settings/settings.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using settings::Presence;

namespace {

//! A program with one setting of each of several types.
struct Program {
    settings::Settings settings { "program", "Does something.", "program --port 80" };
    int port = 8080;
    Millis timeout { 500 };
    bool isFast = false;
    net::PeerAddress listen;
    std::vector<settings::NamedAddress> peers;

    Program()
    {
        settings.integer("--port", port, 1, 65535, "port to listen on");
        settings.duration("--timeout-ms", timeout, Millis(1), Millis(10000), "time for one call");
        settings.toggle("--fast", isFast, "skip the slow part");
        settings.address("--listen", listen, "own address", Presence::Required);
        settings.namedAddresses("--peers", peers, "other members");
        settings.check([this](Findings& findings) {
            if (isFast && port == 1)
                findings.push_back({ "--fast, --port", "port 1 is never fast" });
        });
    }

    settings::ParseResult parse(std::vector<const char*> arguments)
    {
        arguments.insert(arguments.begin(), "program");
        return settings.parse(static_cast<int>(arguments.size()), arguments.data());
    }
};

//! Sets an environment variable for the lifetime of the object.
struct Variable {
    const char* name;
    Variable(const char* variable, const char* value)
        : name(variable)
    {
        setenv(variable, value, 1);
    }
    ~Variable() { unsetenv(name); }
};

} // namespace

BOOST_AUTO_TEST_CASE(A_flag_overrides_its_variable_and_both_override_the_default, *boost::unit_test::label("settings"))
{
    Variable port("AGATEVANE_PORT", "90");
    Variable timeout("AGATEVANE_TIMEOUT_MS", "750");
    Program program;
    auto result
        = program.parse({ "--port", "70", "--fast", "--listen=127.0.0.1:1", "--peers", "a=[::1]:5,b=10.0.0.2:6" });
    BOOST_TEST(format(result.findings) == "");
    BOOST_TEST(!result.exitCode.has_value());
    BOOST_TEST(program.port == 70);
    BOOST_TEST(program.timeout.count() == 750);
    BOOST_TEST(program.isFast);
    BOOST_REQUIRE(program.peers.size() == 2);
    BOOST_TEST(program.peers[0].address.address == "::1");
}

// Guards against findings that an operator sees only one by one, in one run of the program each.
BOOST_AUTO_TEST_CASE(All_findings_are_reported_at_once_with_flag_and_variable, *boost::unit_test::label("settings"))
{
    Variable timeout("AGATEVANE_TIMEOUT_MS", "99999");
    Program program;
    auto result = program.parse({ "--prot", "5", "--port", "0", "stray", "--peers", "a=1.2.3.4:5,a=1.2.3.4:6" });
    BOOST_TEST(result.exitCode.value_or(0) == settings::badSettingsExit);
    BOOST_TEST(format(result.findings)
        == "--prot: unknown flag; did you mean --port?\n"
           "stray: unexpected argument\n"
           "--port (AGATEVANE_PORT): \"0\" is not a number from 1 to 65535\n"
           "--timeout-ms (AGATEVANE_TIMEOUT_MS): \"99999\" is not a number from 1 to 10000\n"
           "--listen (AGATEVANE_LISTEN): missing\n"
           "--peers (AGATEVANE_PEERS): the name \"a\" is listed twice\n");
}

BOOST_AUTO_TEST_CASE(
    A_missing_value_a_repeated_flag_and_contradicting_settings_are_findings, *boost::unit_test::label("settings"))
{
    Program first;
    auto result = first.parse({ "--port", "--listen", "127.0.0.1:1", "--fast", "--fast" });
    BOOST_TEST(format(result.findings)
        == "--port (AGATEVANE_PORT): given without a value\n--fast (AGATEVANE_FAST): given 2 times\n");
    Program second;
    result = second.parse({ "--port", "1", "--listen", "127.0.0.1:1", "--fast" });
    BOOST_TEST(format(result.findings) == "--fast, --port: port 1 is never fast\n");
}

BOOST_AUTO_TEST_CASE(The_help_text_contains_range_default_and_variable, *boost::unit_test::label("settings"))
{
    Program program;
    auto result = program.parse({ "--help" });
    BOOST_TEST(result.exitCode.value_or(1) == 0);
    for (const char* text : { "AGATEVANE_PORT", "1 to 65535", "default: 8080", "program --port 80", "[required]" })
        BOOST_TEST(result.helpText.find(text) != std::string::npos, text);
}

RC_BOOST_PROP(any_text_is_accepted_or_refused_without_a_crash, (const std::string& text))
{
    net::PeerAddress address;
    std::vector<settings::NamedAddress> named;
    http::Endpoint endpoint;
    if (net::readAddress(text, address).empty())
        RC_ASSERT(address.port >= 0 && address.port <= 65535);
    settings::readNamedAddresses(text, named);
    settings::readEndpoint(text, endpoint);
    // A command line cannot hold a zero byte.
    Program program;
    program.parse({ "--listen", "127.0.0.1:1", "--port", text.c_str() });
    RC_ASSERT(program.port >= 1 && program.port <= 65535);
}
