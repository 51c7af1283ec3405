#include "tests/support/free_port.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace agatevane;

// Guards against systems of two test processes that use the same port: callers of one were answered by the other, which
// knew neither their key nor their jobs, or a program could not listen.
BOOST_AUTO_TEST_CASE(No_two_test_processes_get_the_same_port, *boost::unit_test::label("ports"))
{
    test::freePort(); // both processes go on from the same candidate
    int ends[2];
    BOOST_REQUIRE_EQUAL(::pipe(ends), 0);
    auto child = ::fork();
    if (child == 0) {
        int port = test::freePort();
        auto written = ::write(ends[1], &port, sizeof port);
        // Stays alive, with its port, until the parent ends it.
        ::pause();
        ::_exit(written == sizeof port ? 0 : 1);
    }
    int ofChild = 0;
    BOOST_CHECK_EQUAL(::read(ends[0], &ofChild, sizeof ofChild), static_cast<ssize_t>(sizeof ofChild));
    BOOST_CHECK_NE(test::freePort(), ofChild);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
