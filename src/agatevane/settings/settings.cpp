#include "agatevane/settings/settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <glog/logging.h>
#include <iostream>

namespace agatevane::settings {

namespace {

    std::string joinWithCommas(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text;
    }

    std::string toText(const net::PeerAddress& address)
    {
        return address.address.empty() ? "" : address.address + ":" + std::to_string(address.port);
    }

    std::string toText(const http::Endpoint& endpoint)
    {
        if (endpoint.address.empty())
            return "";
        return (endpoint.useTls ? "https://" : "") + endpoint.address + ":" + std::to_string(endpoint.port);
    }

    template <typename T> std::string toText(T value)
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    template <typename T> std::string readNumber(const std::string& text, T low, T high, T& target)
    {
        T value {};
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        // Every comparison with NaN is false, so this form of the range check also refuses "nan".
        bool isInRange = error == std::errc() && end == text.data() + text.size() && value >= low && value <= high;
        if (!isInRange)
            return "\"" + text + "\" is not a number from " + toText(low) + " to " + toText(high);
        target = value;
        return {};
    }

    std::string rangeHelp(const std::string& help, const std::string& low, const std::string& high)
    {
        return help + " (" + low + " to " + high + ")";
    }

    //! Greatest edit distance between an unknown flag and the flag that is proposed instead.
    constexpr std::size_t maxFlagDistance = 2;

    std::size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        for (std::size_t j = 0; j <= b.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= a.size(); ++i) {
            auto diagonal = std::exchange(row[0], i);
            for (std::size_t j = 1; j <= b.size(); ++j) {
                auto substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = std::exchange(row[j], std::min({ row[j] + 1, row[j - 1] + 1, substituted }));
            }
        }
        return row[b.size()];
    }

} // namespace

std::string variableOf(const std::string& flag)
{
    std::string variable = "AGATEVANE_";
    for (char c : flag.substr(flag.find_first_not_of('-')))
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return variable;
}

struct Settings::State {
    struct Declaration {
        std::string flag;
        CLI::Option* option;
        std::function<std::string(const std::string&)> read;
        Presence presence;
        bool isToggle;
    };

    CLI::App app;
    std::vector<Declaration> declarations;
    std::vector<std::function<void(Findings&)>> checks;

    std::string placeOf(const std::string& flag) const { return flag + " (" + variableOf(flag) + ")"; }

    void readValue(const Declaration& setting, Findings& findings) const
    {
        const auto& results = setting.option->results();
        auto place = placeOf(setting.flag);
        if (setting.option->count() == 0) {
            if (setting.presence == Presence::Required)
                findings.push_back({ place, "missing" });
            return;
        }
        if (results.size() > 1) {
            findings.push_back({ place, "given " + std::to_string(results.size()) + " times" });
            return;
        }
        if (auto fault = setting.read(results.front()); !fault.empty())
            findings.push_back({ place, fault });
    }

    //! Returns the arguments without the flags that need a value and have none, and reports those flags. CLI11 would
    //! read them as "true".
    std::vector<std::string> withoutEmptyFlags(int argc, const char* const* argv, Findings& findings) const
    {
        std::vector<std::string> kept;
        for (int i = 1; i < argc; ++i) {
            auto needsValue = [&](const Declaration& setting) { return setting.flag == argv[i] && !setting.isToggle; };
            bool isFollowedByValue = i + 1 < argc && !std::string_view(argv[i + 1]).starts_with("--");
            if (!isFollowedByValue && std::ranges::any_of(declarations, needsValue))
                findings.push_back({ placeOf(argv[i]), "given without a value" });
            else
                kept.emplace_back(argv[i]);
        }
        return kept;
    }

    std::string nearestFlag(std::string_view given) const
    {
        std::string nearest;
        auto best = maxFlagDistance + 1;
        for (const auto& setting : declarations) {
            auto distance = editDistance(given, setting.flag);
            if (distance < best) {
                best = distance;
                nearest = setting.flag;
            }
        }
        return nearest;
    }

    void reportUnknownArguments(const std::vector<std::string>& extras, Findings& findings) const
    {
        bool mayBeValue = false; // The argument after an unknown flag is most likely the value of that flag.
        for (const auto& extra : extras) {
            if (!extra.starts_with("-")) {
                if (!mayBeValue)
                    findings.push_back({ extra, "unexpected argument" });
                mayBeValue = false;
                continue;
            }
            auto equals = extra.find('=');
            auto flag = extra.substr(0, equals);
            mayBeValue = equals == std::string::npos;
            auto nearest = nearestFlag(flag);
            findings.push_back(
                { flag, nearest.empty() ? "unknown flag; see --help" : "unknown flag; did you mean " + nearest + "?" });
        }
    }
};

Settings::Settings(const std::string& program, const std::string& summary, const std::string& example)
    : state_(std::make_unique<State>())
{
    auto& app = state_->app;
    app.name(program);
    app.description(summary);
    app.allow_extras();
    std::string footer = "Each flag is also an environment variable; the flag wins. Wrong settings are reported "
                         "together and end the program with exit code 2.";
    if (!example.empty())
        footer += "\n\nExample:\n  " + example;
    app.footer(footer);
    app.get_formatter()->column_width(42);
}

Settings::~Settings() = default;

CLI::App& Settings::app()
{
    return state_->app;
}

void Settings::custom(const std::string& flag, const std::string& help, const std::string& defaultText,
    std::function<std::string(const std::string&)> read, Presence presence)
{
    auto description = help;
    if (presence == Presence::Required)
        description += " [required]";
    else if (!defaultText.empty())
        description += " [default: " + defaultText + "]";
    // The values are read after parsing, so that one wrong value does not hide the others.
    auto* option = state_->app.add_option_function<std::vector<std::string>>(
        flag, [](const std::vector<std::string>&) {}, description);
    option->envname(variableOf(flag));
    option->expected(0, 1);
    option->allow_extra_args(false);
    option->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    option->type_name("VALUE");
    state_->declarations.push_back({ flag, option, std::move(read), presence, false });
}

void Settings::text(
    const std::string& flag, std::string& target, const std::string& help, Presence presence, std::size_t maxLength)
{
    custom(
        flag, help, target,
        [&target, maxLength](const std::string& value) {
            if (value.size() > maxLength)
                return "longer than " + std::to_string(maxLength) + " bytes";
            target = value;
            return std::string();
        },
        presence);
}

void Settings::integer(
    const std::string& flag, int& target, int low, int high, const std::string& help, Presence presence)
{
    custom(
        flag, rangeHelp(help, toText(low), toText(high)), toText(target),
        [&target, low, high](const std::string& value) { return readNumber(value, low, high, target); }, presence);
}

void Settings::integer(const std::string& flag, std::int64_t& target, std::int64_t low, std::int64_t high,
    const std::string& help, Presence presence)
{
    custom(
        flag, rangeHelp(help, toText(low), toText(high)), toText(target),
        [&target, low, high](const std::string& value) { return readNumber(value, low, high, target); }, presence);
}

void Settings::real(
    const std::string& flag, double& target, double low, double high, const std::string& help, Presence presence)
{
    custom(
        flag, rangeHelp(help, toText(low), toText(high)), toText(target),
        [&target, low, high](const std::string& value) { return readNumber(value, low, high, target); }, presence);
}

void Settings::duration(
    const std::string& flag, Millis& target, Millis low, Millis high, const std::string& help, Presence presence)
{
    custom(
        flag, rangeHelp(help, toText(low.count()), toText(high.count()) + " ms"), toText(target.count()),
        [&target, low, high](const std::string& value) {
            auto count = target.count();
            auto fault = readNumber(value, low.count(), high.count(), count);
            target = Millis(count);
            return fault;
        },
        presence);
}

void Settings::toggle(const std::string& flag, bool& target, const std::string& help)
{
    custom(flag, help, target ? "true" : "false", [&target](const std::string& value) {
        if (value.empty() || value == "true" || value == "1")
            target = true;
        else if (value == "false" || value == "0")
            target = false;
        else
            return "\"" + value + "\" is neither true nor false";
        return std::string();
    });
    state_->declarations.back().isToggle = true;
}

void Settings::address(const std::string& flag, net::PeerAddress& target, const std::string& help, Presence presence)
{
    custom(
        flag, help, toText(target), [&target](const std::string& value) { return net::readAddress(value, target); },
        presence);
}

void Settings::namedAddresses(
    const std::string& flag, std::vector<NamedAddress>& target, const std::string& help, Presence presence)
{
    std::vector<std::string> defaults;
    defaults.reserve(target.size());
    for (const auto& named : target)
        defaults.push_back(named.name + "=" + toText(named.address));
    custom(
        flag, help + " (name=ip:port,...)", joinWithCommas(defaults),
        [&target](const std::string& value) { return readNamedAddresses(value, target); }, presence);
}

void Settings::endpoint(const std::string& flag, http::Endpoint& target, const std::string& help, Presence presence)
{
    custom(
        flag, help, toText(target), [&target](const std::string& value) { return readEndpoint(value, target); },
        presence);
}

void Settings::endpoints(
    const std::string& flag, std::vector<http::Endpoint>& target, const std::string& help, Presence presence)
{
    std::vector<std::string> defaults;
    defaults.reserve(target.size());
    for (const auto& endpoint : target)
        defaults.push_back(toText(endpoint));
    custom(
        flag, help + " (comma-separated)", joinWithCommas(defaults),
        [&target](const std::string& value) { return readEndpoints(value, target); }, presence);
}

void Settings::check(std::function<void(Findings&)> check)
{
    state_->checks.push_back(std::move(check));
}

bool Settings::isGiven(const std::string& flag) const
{
    for (const auto& setting : state_->declarations) {
        if (setting.flag == flag)
            return setting.option->count() > 0;
    }
    return false;
}

ParseResult Settings::parse(int argc, const char* const* argv)
{
    ParseResult result;
    auto& findings = result.findings;
    auto arguments = state_->withoutEmptyFlags(argc, argv, findings);
    std::ranges::reverse(arguments); // CLI11 reads the vector from its end.
    try {
        state_->app.parse(std::move(arguments));
    } catch (const CLI::CallForHelp&) {
        result.helpText = state_->app.help();
        result.exitCode = 0;
        return result;
    } catch (const CLI::ParseError& error) {
        findings.push_back({ "command line", error.what() });
    }
    state_->reportUnknownArguments(state_->app.remaining(true), findings);
    for (const auto& setting : state_->declarations)
        state_->readValue(setting, findings);
    if (findings.empty()) {
        for (const auto& check : state_->checks)
            check(findings);
    }
    if (!findings.empty())
        result.exitCode = badSettingsExit;
    return result;
}

std::optional<int> Settings::parseOrPrint(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    auto result = parse(argc, argv);
    out << result.helpText;
    if (!result.findings.empty()) {
        err << state_->app.get_name() << ": " << result.findings.size() << " wrong setting"
            << (result.findings.size() == 1 ? "" : "s") << "\n"
            << format(result.findings);
    }
    return result.exitCode;
}

void setUpLogging(const char* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

} // namespace agatevane::settings
