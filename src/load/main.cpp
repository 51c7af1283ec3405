#include "load/print.h"

#include <csignal>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    load::LoadSettings settings;
    if (auto exitCode = load::readSettings(argc, argv, settings, std::cout, std::cerr))
        return *exitCode;
    std::signal(SIGPIPE, SIG_IGN);
    auto report = load::Runner(settings).run(load::planRequests(settings));
    load::print(report, settings.format, std::cout);
    return report.wrongCount == 0 ? 0 : 1;
}
