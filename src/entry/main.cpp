#include "entry/entry_server.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    entry::Settings settings;
    if (auto exitCode = entry::readSettings(argc, argv, settings, std::cout, std::cerr))
        return *exitCode;
    settings::setUpLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    // The signals are blocked before any thread starts, so that only sigwait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    auto drainWait = settings.drainWait;
    auto addresses = settings.listen.address + ":" + std::to_string(settings.listen.port) + " or "
        + settings.rpcListen.address + ":" + std::to_string(settings.rpcListen.port);
    entry::EntryServer server(std::move(settings));
    if (auto error = server.start()) {
        LOG(ERROR) << "cannot listen on " << addresses << ": " << error.message();
        return 1;
    }
    LOG(INFO) << "serving on port " << server.port();
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "signal " << signal << ": draining";
    server.drain();
    std::this_thread::sleep_for(drainWait);
    server.stop();
    LOG(INFO) << "stopped";
    return 0;
}
