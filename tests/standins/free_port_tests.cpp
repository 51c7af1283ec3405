#include "tests/support/free_port.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace agatevane;

// Guards against two test processes that use the same port: the system of one process answered callers of the other,
// whose keys and jobs it did not know, or a program could not listen.
BOOST_AUTO_TEST_CASE(No_two_test_processes_get_the_same_port, *boost::unit_test::label("ports"))
{
    test::freePort(); // Both processes continue from the same candidate port.
    int pipeEnds[2];
    BOOST_REQUIRE_EQUAL(::pipe(pipeEnds), 0);
    auto child = ::fork();
    if (child == 0) {
        int port = test::freePort();
        auto written = ::write(pipeEnds[1], &port, sizeof port);
        // Keeps the port until the parent ends this process.
        ::pause();
        ::_exit(written == sizeof port ? 0 : 1);
    }
    int childPort = 0;
    BOOST_CHECK_EQUAL(::read(pipeEnds[0], &childPort, sizeof childPort), static_cast<ssize_t>(sizeof childPort));
    BOOST_CHECK_NE(test::freePort(), childPort);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}
