#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/json/reader.h"
#include "agatevane/settings/addresses.h"
#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

//! Flags and environment variables of a program. Each flag, such as `--store-timeout-ms`, can also be given as a
//! variable, such as `AGATEVANE_STORE_TIMEOUT_MS`. The flag takes precedence.
namespace agatevane::settings {

using json::Presence;

//! Exit code of a program whose settings are wrong.
constexpr int badSettingsExit = 2;

//! The result of parsing the command line and the environment.
struct ParseResult {
    std::optional<int> exitCode; //!< no value: the settings are valid and the program continues
    Findings findings;
    std::string helpText; //!< set if `--help` was given
};

//! Declares settings, reads them and collects all findings. If neither the flag nor the variable is given, the target
//! of a setting keeps its value, which `--help` shows as the default.
class Settings {
public:
    //! `example` is one working command line that `--help` shows.
    Settings(const std::string& program, const std::string& summary, const std::string& example = "");
    ~Settings();
    Settings(const Settings&) = delete;
    Settings& operator=(const Settings&) = delete;

    //! Declares a text setting. In all of these functions, `flag` includes its leading dashes and ranges include both
    //! ends.
    void text(const std::string& flag, std::string& target, const std::string& help,
        Presence presence = Presence::Optional, std::size_t maxLength = 4096);
    void integer(const std::string& flag, int& target, int low, int high, const std::string& help,
        Presence presence = Presence::Optional);
    void integer(const std::string& flag, std::int64_t& target, std::int64_t low, std::int64_t high,
        const std::string& help, Presence presence = Presence::Optional);
    void real(const std::string& flag, double& target, double low, double high, const std::string& help,
        Presence presence = Presence::Optional);
    //! The value is a whole number of milliseconds. The name of the flag must end in "-ms".
    void duration(const std::string& flag, Millis& target, Millis low, Millis high, const std::string& help,
        Presence presence = Presence::Optional);
    //! Accepts `--flag`, `--flag=true` and `--flag=false`.
    void toggle(const std::string& flag, bool& target, const std::string& help);
    void address(const std::string& flag, net::PeerAddress& target, const std::string& help,
        Presence presence = Presence::Optional);
    //! Accepts a list such as "name=ip:port,name=ip:port".
    void namedAddresses(const std::string& flag, std::vector<NamedAddress>& target, const std::string& help,
        Presence presence = Presence::Optional);
    //! Accepts "ip:port" and "https://ip:port".
    void endpoint(const std::string& flag, http::Endpoint& target, const std::string& help,
        Presence presence = Presence::Optional);
    void endpoints(const std::string& flag, std::vector<http::Endpoint>& target, const std::string& help,
        Presence presence = Presence::Optional);

    //! Accepts the names in the table of the enumeration.
    template <typename E>
    void choice(const std::string& flag, E& target, const std::string& help, Presence presence = Presence::Optional)
    {
        std::string names;
        for (const auto& entry : EnumNames<E>::table)
            names += (names.empty() ? "" : ", ") + std::string(entry.second);
        custom(
            flag, help + " (" + names + ")", std::string(nameOf(target)),
            [&target, names](const std::string& value) {
                auto chosen = fromName<E>(value);
                if (!chosen)
                    return "\"" + value + "\" is not one of: " + names;
                target = *chosen;
                return std::string();
            },
            presence);
    }

    //! Declares a setting whose value is read by `read`, which returns a description of the fault in the value, or an
    //! empty string.
    void custom(const std::string& flag, const std::string& help, const std::string& defaultText,
        std::function<std::string(const std::string&)> read, Presence presence = Presence::Optional);

    //! Adds a check over several settings. It is made only if no single setting has a finding.
    void check(std::function<void(Findings&)> check);

    //! Whether the flag or its variable was given. Valid only after parsing.
    bool isGiven(const std::string& flag) const;

    //! The CLI11 application, for declaring subcommands and positional arguments. Their errors also become findings.
    CLI::App& app();

    //! Reads the command line and the environment. Prints nothing.
    ParseResult parse(int argc, const char* const* argv);

    //! Calls parse() and prints the help text to `out` and findings to `err`. Returns the exit code if the program must
    //! end: 0 after the help text, 2 after findings.
    std::optional<int> parseOrPrint(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! The environment variable of a flag: "AGATEVANE_STORE_TIMEOUT_MS" for "--store-timeout-ms".
std::string variableOf(const std::string& flag);

//! Makes glog write its lines to standard error and not to files, since the VMs have no disks.
void setUpLogging(const char* program);

} // namespace agatevane::settings
