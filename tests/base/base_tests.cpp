#include "agatevane/base/enum_names.h"
#include "agatevane/base/error.h"
#include "agatevane/base/finding.h"
#include "agatevane/base/job.h"
#include "agatevane/base/outcome.h"
#include "agatevane/base/random.h"
#include "agatevane/base/termination_signal.h"
#include "agatevane/base/token.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <rapidcheck/boost_test.h>
#include <thread>

using namespace agatevane;

// Guards against a name table that lacks an enumerator, which would be sent as "unknown".
BOOST_AUTO_TEST_CASE(Every_job_state_and_outcome_has_a_name_that_converts_back, *boost::unit_test::label("names"))
{
    for (int value = 0; value <= static_cast<int>(JobState::Impossible); ++value) {
        auto state = static_cast<JobState>(value);
        BOOST_TEST((fromName<JobState>(nameOf(state)) == state));
    }
    for (int value = 0; value <= static_cast<int>(Outcome::Unknown); ++value)
        BOOST_TEST((fromName<Outcome>(nameOf(static_cast<Outcome>(value))) == static_cast<Outcome>(value)));
    BOOST_TEST(!fromName<WorkClass>("no such class").has_value());
}

// Guards against findings that are formatted without their place when there are several.
BOOST_AUTO_TEST_CASE(Findings_are_formatted_one_per_line_with_their_place, *boost::unit_test::label("findings"))
{
    Findings findings { { "--port", "out of range" }, { "entry a, field b", "missing" } };
    BOOST_TEST(format(findings) == "--port: out of range\nentry a, field b: missing\n");
}

BOOST_AUTO_TEST_CASE(Error_codes_carry_a_message, *boost::unit_test::label("errors"))
{
    std::error_code code = Errc::StaleEpoch;
    BOOST_TEST(code.message() == "stale epoch");
    BOOST_TEST((code == Errc::StaleEpoch));
}

// Guards against a digest that other SHA-256 tools, which operators use to write the catalogue, do not reproduce.
BOOST_AUTO_TEST_CASE(A_token_digest_is_the_sha256_of_the_token, *boost::unit_test::label("tokens"))
{
    BOOST_TEST(tokenDigestOf("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

RC_BOOST_PROP(a_digest_depends_on_every_byte, (std::string text, unsigned char flip))
{
    RC_PRE(!text.empty() && flip != 0);
    auto changed = text;
    changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ flip);
    RC_ASSERT(digestOf(text) != digestOf(changed));
}

// Guards against a program that ends at once on a signal instead of shutting down.
BOOST_AUTO_TEST_CASE(
    A_blocked_termination_signal_is_received_by_the_thread_that_waits, *boost::unit_test::label("signals"))
{
    int received = 0;
    std::thread([&received] {
        blockTerminationSignals();
        pthread_kill(pthread_self(), SIGTERM);
        received = waitForTerminationSignal();
    }).join();
    BOOST_TEST(received == SIGTERM);
}
