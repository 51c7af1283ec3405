#include "agatevane/base/termination_signal.h"
#include "standins/store/store_server.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    blockTerminationSignals();

    standin::StoreSettings settings;
    CLI::App app { "Stand-in for the platform's key-value store, for tests and the demo" };
    app.add_option("--address", settings.address, "IP address to listen on");
    app.add_option("--port", settings.port, "port of the gateway; 0: any free port");
    app.add_option("--control-port", settings.controlPort, "port of the control path; 0: any free port");
    app.add_option("--threads", settings.threads, "number of calls and watches served at the same time");
    app.add_option("--writes-per-second", settings.writesPerSecond, "maximum rate of writes; 0: no limit");
    app.add_option("--reads-per-second", settings.readsPerSecond, "maximum rate of reads; 0: no limit");
    app.add_option("--progress-ms", settings.progressMs, "interval of progress messages on a quiet watch");
    app.add_option(
        "--lost-answer-ms", settings.lostAnswerMs, "time after which a call whose answer is lost gets an error");
    app.add_option("--max-value-bytes", settings.limits.maxValueBytes, "maximum length of a value");
    app.add_option("--history-revisions", settings.limits.historyRevisions, "number of revisions kept by compaction");
    CLI11_PARSE(app, argc, argv);

    standin::StoreServer server(settings);
    if (auto error = server.start()) {
        std::cerr << "cannot listen on " << settings.address << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << standin::Json { { "port", server.port() }, { "control", server.controlPort() } }.dump() << std::endl;
    waitForTerminationSignal();
    server.stop();
    return 0;
}
