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

//! Flags and environment variables of a program. The flag `--store-timeout-ms` is also the variable
//! `AGATEVANE_STORE_TIMEOUT_MS`; the flag wins.
namespace agatevane::settings {

using json::Presence;

//! Exit code of a program whose settings are wrong.
constexpr int badSettingsExit = 2;

//! What parsing came to. Nothing in `exitCode` means that the program goes on.
struct ParseResult {
    std::optional<int> exitCode;
    Findings findings;
    std::string helpText; //!< set if help was asked for
};

//! Declares settings, reads them, and collects everything that is wrong. A target keeps its value, which is the
//! default shown by `--help`, if neither the flag nor the variable is given.
class Settings {
public:
    //! `example` is one working command line that `--help` shows.
    Settings(const std::string& program, const std::string& summary, const std::string& example = "");
    ~Settings();
    Settings(const Settings&) = delete;
    Settings& operator=(const Settings&) = delete;

    //! `flag` is written with its dashes. Ranges include both ends.
    void text(const std::string& flag, std::string& target, const std::string& help,
        Presence presence = Presence::Optional, std::size_t maxLength = 4096);
    void integer(const std::string& flag, int& target, int low, int high, const std::string& help,
        Presence presence = Presence::Optional);
    void integer(const std::string& flag, std::int64_t& target, std::int64_t low, std::int64_t high,
        const std::string& help, Presence presence = Presence::Optional);
    void real(const std::string& flag, double& target, double low, double high, const std::string& help,
        Presence presence = Presence::Optional);
    //! Whole milliseconds; the flag's name ends in "-ms".
    void duration(const std::string& flag, Millis& target, Millis low, Millis high, const std::string& help,
        Presence presence = Presence::Optional);
    //! `--flag`, `--flag=true` or `--flag=false`.
    void toggle(const std::string& flag, bool& target, const std::string& help);
    void address(const std::string& flag, net::PeerAddress& target, const std::string& help,
        Presence presence = Presence::Optional);
    //! "name=ip:port,name=ip:port".
    void namedAddresses(const std::string& flag, std::vector<NamedAddress>& target, const std::string& help,
        Presence presence = Presence::Optional);
    //! "ip:port" or "https://ip:port".
    void endpoint(const std::string& flag, http::Endpoint& target, const std::string& help,
        Presence presence = Presence::Optional);
    void endpoints(const std::string& flag, std::vector<http::Endpoint>& target, const std::string& help,
        Presence presence = Presence::Optional);

    //! One name of the enumeration's table.
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

    //! `read` returns what is wrong with the value, or an empty string.
    void custom(const std::string& flag, const std::string& help, const std::string& defaultText,
        std::function<std::string(const std::string&)> read, Presence presence = Presence::Optional);

    //! A check over several settings, made only if each of them is right by itself.
    void check(std::function<void(Findings&)> check);

    //! Whether the flag or its variable was given; valid after parsing.
    bool isGiven(const std::string& flag) const;

    //! For subcommands and positional arguments. Their errors become findings as well.
    CLI::App& app();

    //! Reads the command line and the environment; prints nothing.
    ParseResult parse(int argc, const char* const* argv);

    //! As `parse`; prints help to `out` and findings to `err`. The exit code, if the program must end: 0 after help, 2
    //! for findings.
    std::optional<int> parseOrPrint(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! "--store-timeout-ms" -> "AGATEVANE_STORE_TIMEOUT_MS".
std::string variableOf(const std::string& flag);

//! Sends glog's lines to standard error, never to files, since the VMs have no disks.
void setUpLogging(const char* program);

} // namespace agatevane::settings
