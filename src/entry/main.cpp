#include "agatevane/base/termination_signal.h"
#include "entry/entry_server.h"

#include <glog/logging.h>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    entry::Settings settings;
    if (auto exitCode = entry::readSettings(argc, argv, settings, std::cout, std::cerr))
        return *exitCode;
    settings::setUpLogging(argv[0]);
    blockTerminationSignals();

    auto drainWait = settings.drainWait;
    auto addresses = settings.listen.address + ":" + std::to_string(settings.listen.port) + " or "
        + settings.rpcListen.address + ":" + std::to_string(settings.rpcListen.port);
    entry::EntryServer server(std::move(settings));
    if (auto error = server.start()) {
        LOG(ERROR) << "cannot listen on " << addresses << ": " << error.message();
        return 1;
    }
    LOG(INFO) << "serving on port " << server.port();
    auto signal = waitForTerminationSignal();
    LOG(INFO) << "signal " << signal << ": draining";
    server.drain();
    std::this_thread::sleep_for(drainWait);
    server.stop();
    LOG(INFO) << "stopped";
    return 0;
}
