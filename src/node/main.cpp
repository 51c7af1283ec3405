#include "agatevane/event_http/client.h"
#include "agatevane/event_log/event_log.h"
#include "node/node.h"
#include "node/timer.h"
#include "platform/job_interface.h"
#include "platform/machine_client.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"
#include "platform/store_items.h"
#include "platform/worker_client.h"
#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace agatevane;

namespace {

constexpr int invalidSettingsExitCode = 2;

node::Translation platformTranslation()
{
    return { platform::decodeCall, platform::hostOf, platform::apiKeyOf, platform::timeoutOf, platform::encodeAnswer,
        platform::desiredStateKey, platform::decodeDesiredState, platform::workerPrefix, platform::decodeListing,
        platform::isReadinessCheck, platform::wavePrefix, platform::decodeWave, platform::encodeWaveStatus,
        platform::evacuationPrefix, platform::decodeEvacuation };
}

//! Interval between checks of the settings file, which the platform may change without a signal.
constexpr Millis settingsCheckInterval { 5000 };

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

//! Reloads the settings file of a running process on SIGHUP and when the file changes. A valid file is applied as a
//! whole; the errors of an invalid one are logged and the old settings stay in force.
class SettingsReloader {
public:
    SettingsReloader(
        asio::io_context& context, const std::string& path, const std::string& text, node::Node& runningNode)
        : path_(path)
        , text_(text)
        , node_(runningNode)
        , signals_(context, SIGHUP)
        , timer_(context)
    {
        waitForSignal();
        checkForChange();
    }

private:
    void waitForSignal()
    {
        signals_.async_wait([this](std::error_code error, int) {
            if (error)
                return;
            reload("signal");
            waitForSignal();
        });
    }

    void checkForChange()
    {
        timer_.arm(settingsCheckInterval, [this] {
            if (readFile(path_).value_or(text_) != text_)
                reload("change");
            checkForChange();
        });
    }

    void reload(std::string_view cause)
    {
        Findings findings;
        std::optional<node::Settings> settings;
        if (auto text = readFile(path_)) {
            text_ = *text;
            settings = platform::readSettings(text_, findings);
        } else {
            findings.push_back({ path_, "can't be read" });
        }
        for (const auto& finding : findings)
            event_log::Line("settings_wrong").with("place", finding.place).with("text", finding.text);
        if (settings)
            node_.reload(*settings);
        event_log::Line("reloaded").with("cause", cause).with("applied", settings.has_value());
    }

    std::string path_;
    std::string text_; //!< content of the file when it was last read
    node::Node& node_;
    asio::signal_set signals_;
    node::Timer timer_;
};

//! The rest of the descriptors is for callers, other nodes and files.
std::size_t maxClientConnections(const node::Settings& settings)
{
    constexpr double clientShare = 0.75;
    return static_cast<std::size_t>(clientShare * static_cast<double>(settings.maxDescriptors));
}

int run(const std::string& path, const std::string& text, const node::Settings& settings)
{
    asio::io_context context(1);
    event_http::Client client(context);
    client.limitConnections(maxClientConnections(settings));
    platform::StoreClient store(client, settings.storeAddress);
    platform::WorkerClient workers(client, settings.adviceAddress);
    platform::MachineClient machines(client, settings.machinesAddress, settings.name);
    auto translation = platformTranslation();
    node::Node runningNode(
        context, settings, store, workers, settings.machinesAddress.port != 0 ? &machines : nullptr, translation);
    Findings findings;
    if (!runningNode.start(findings)) {
        std::cerr << format(findings);
        return 1;
    }
    event_log::Line("started").with("zone", settings.zone).with("region", settings.region);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code error, int signal) {
        if (error)
            return;
        event_log::Line("stopping").with("signal", signal);
        runningNode.stop([&context] { context.stop(); });
    });
    SettingsReloader settingsReloader(context, path, text, runningNode);
    context.run();
    event_log::Line("stopped").with("dropped_lines", event_log::droppedLines());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "One node of agatevane: serves callers and, while it owns the fleet, runs its jobs." };
    std::string path = platform::settingsPath();
    bool checkOnly = false;
    app.add_option("--settings", path, "Settings file of the platform")->capture_default_str();
    std::string advertisedAddress;
    app.add_option("--advertised-peers-address", advertisedAddress,
           "IP:PORT at which other nodes reach this one, if a forwarder is between them")
        ->envname("AGATEVANE_ADVERTISED_PEERS_ADDRESS");
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    Findings findings;
    auto text = readFile(path);
    if (!text)
        findings.push_back({ path, "can't be read" });
    auto settings = text ? platform::readSettings(*text, findings) : std::nullopt;
    net::PeerAddress address;
    if (!advertisedAddress.empty()) {
        if (auto addressError = net::readAddress(advertisedAddress, address); !addressError.empty())
            findings.push_back({ "--advertised-peers-address", addressError });
    }
    if (!findings.empty()) {
        std::cerr << format(findings);
        return invalidSettingsExitCode;
    }
    if (!advertisedAddress.empty())
        settings->peerAddress = address;
    if (checkOnly)
        return 0;
    std::signal(SIGPIPE, SIG_IGN);
    event_log::open(settings->name);
    return run(path, *text, *settings);
}
