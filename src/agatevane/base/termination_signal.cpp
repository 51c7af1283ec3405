#include "agatevane/base/termination_signal.h"

#include <csignal>

namespace agatevane {

namespace {

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

} // namespace

void blockTerminationSignals()
{
    auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int waitForTerminationSignal()
{
    auto signals = terminationSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    return signal;
}

} // namespace agatevane
