#include "agatevane/base/termination_signal.h"
#include "scheduler/scheduler.h"

#include <glog/logging.h>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    scheduler::SchedulerSettings settings;
    if (auto exitCode = scheduler::readSettings(argc, argv, settings, std::cout, std::cerr))
        return *exitCode;
    settings::setUpLogging(argv[0]);
    blockTerminationSignals();

    scheduler::Scheduler process(settings);
    if (auto error = process.start()) {
        LOG(ERROR) << "cannot listen on " << settings.listen.address << ":" << settings.listen.port
                   << " or at the HTTP address: " << error.message();
        return 1;
    }
    LOG(INFO) << "serving on " << settings.listen.address << ":" << settings.listen.port << ", HTTP port "
              << process.httpPort();
    auto signal = waitForTerminationSignal();
    LOG(INFO) << "signal " << signal << ": handing the owned data centres over";
    process.handOver();
    process.stop();
    LOG(INFO) << "stopped";
    return 0;
}
