#include "entry/settings.h"

#include <CLI/CLI.hpp>
#include <asio/ip/address.hpp>
#include <charconv>
#include <unistd.h>

namespace agatevane::entry {

namespace {

    //! Values as text, so that one pass over all of them can collect every finding.
    struct RawSettings {
        std::string name, region, dataCentre, listen, rpcListen, vmList, certificate, privateKey;
        std::string threads, defaultTimeout, reportInterval, drainWait;
        std::vector<std::string> stores, schedulers, peers;
    };

    std::string placeOf(const std::string& flag)
    {
        std::string variable = "AGATEVANE_";
        for (char c : flag.substr(2))
            variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return flag + " (" + variable + ")";
    }

    class Checker {
    public:
        explicit Checker(Findings& findings)
            : findings_(findings)
        {
        }

        template <typename Tag> void name(const std::string& flag, const std::string& text, Id<Tag>& target)
        {
            auto isAllowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'; };
            if (text.empty())
                report(flag, "missing");
            else if (text.size() > maxNameLength || !std::all_of(text.begin(), text.end(), isAllowed))
                report(flag, "\"" + text + "\" must have 1 to 64 letters, digits, \"-\" or \"_\"");
            else
                target = { text };
        }

        void address(const std::string& flag, const std::string& text, net::PeerAddress& target)
        {
            if (text.empty())
                return;
            http::Endpoint endpoint;
            if (!isEndpoint(flag, text, endpoint))
                return;
            target = { endpoint.address, endpoint.port };
        }

        bool isEndpoint(const std::string& flag, const std::string& text, http::Endpoint& endpoint)
        {
            std::error_code error;
            // Port 0 lets the system choose; parseEndpoint accepts only ports that a client can connect to.
            bool anyPort = text.ends_with(":0");
            bool parsed = http::parseEndpoint(anyPort ? text.substr(0, text.size() - 1) + "1" : text, endpoint);
            if (parsed)
                asio::ip::make_address(endpoint.address, error);
            if (!parsed || error) {
                report(flag, "\"" + text + "\" is not ip:port");
                return false;
            }
            if (anyPort)
                endpoint.port = 0;
            return true;
        }

        void members(const std::string& flag, const std::vector<std::string>& texts, MemberAddresses& target)
        {
            for (const auto& text : texts) {
                auto equals = text.find('=');
                MemberId member;
                net::PeerAddress peer;
                if (equals == std::string::npos) {
                    report(flag, "\"" + text + "\" is not name=ip:port");
                    continue;
                }
                name(flag, text.substr(0, equals), member);
                auto before = findings_.size();
                address(flag, text.substr(equals + 1), peer);
                if (before == findings_.size() && !target.emplace(member, peer).second)
                    report(flag, "\"" + member.value + "\" is given twice");
            }
        }

        template <typename Number>
        void number(const std::string& flag, const std::string& text, Number low, Number high, Number& target)
        {
            if (text.empty())
                return;
            Number value {};
            auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
            if (error != std::errc() || end != text.data() + text.size() || value < low || value > high) {
                report(flag,
                    "\"" + text + "\" is not a number from " + std::to_string(low) + " to " + std::to_string(high));
                return;
            }
            target = value;
        }

        void millis(
            const std::string& flag, const std::string& text, std::int64_t low, std::int64_t high, Millis& target)
        {
            auto value = static_cast<std::int64_t>(target.count());
            number(flag, text, low, high, value);
            target = Millis(value);
        }

        void file(const std::string& flag, const std::string& path)
        {
            if (access(path.c_str(), R_OK) != 0)
                report(flag, "\"" + path + "\" cannot be read");
        }

        void report(const std::string& flag, const std::string& text) { findings_.push_back({ placeOf(flag), text }); }

    private:
        static constexpr std::size_t maxNameLength = 64;
        Findings& findings_;
    };

    void check(const RawSettings& raw, Settings& settings, Findings& findings)
    {
        Checker checker(findings);
        checker.name("--name", raw.name, settings.name);
        checker.name("--region", raw.region, settings.region);
        checker.name("--data-centre", raw.dataCentre, settings.dataCentre);
        checker.address("--listen", raw.listen, settings.listen);
        checker.address("--rpc-listen", raw.rpcListen, settings.rpcListen);
        checker.members("--scheduler", raw.schedulers, settings.schedulers);
        checker.members("--peer", raw.peers, settings.peers);
        http::Endpoint endpoint;
        for (const auto& store : raw.stores) {
            if (checker.isEndpoint("--store", store, endpoint))
                settings.stores.push_back(endpoint);
        }
        if (raw.stores.empty())
            checker.report("--store", "missing");
        if (!raw.vmList.empty() && checker.isEndpoint("--vm-list", raw.vmList, endpoint))
            settings.vmList = endpoint;
        if (raw.certificate.empty() != raw.privateKey.empty())
            checker.report(raw.certificate.empty() ? "--tls-certificate" : "--tls-private-key", "missing");
        if (!raw.certificate.empty() && !raw.privateKey.empty()) {
            checker.file("--tls-certificate", raw.certificate);
            checker.file("--tls-private-key", raw.privateKey);
            settings.tls = http::TlsFiles { raw.certificate, raw.privateKey };
        }
        checker.number("--threads", raw.threads, 4, 2000, settings.threads);
        checker.millis("--default-timeout-ms", raw.defaultTimeout, 10, 300000, settings.defaultTimeout);
        checker.millis("--report-interval-ms", raw.reportInterval, 50, 2000, settings.reportInterval);
        checker.millis("--drain-wait-ms", raw.drainWait, 0, 60000, settings.drainWait);
    }

} // namespace

ParsedSettings parseSettings(int argc, const char* const* argv)
{
    ParsedSettings parsed;
    RawSettings raw;
    CLI::App app("Entry of agatevane: serves callers and operators over HTTP.", "agatevane-entry");
    auto add = [&app](const std::string& flag, auto& target, const std::string& help) {
        auto place = placeOf(flag);
        auto open = place.find('(') + 1;
        return app.add_option(flag, target, help)->envname(place.substr(open, place.size() - open - 1));
    };
    add("--name", raw.name, "member id of this VM");
    add("--region", raw.region, "region of this VM");
    add("--data-centre", raw.dataCentre, "data centre of this VM");
    add("--listen", raw.listen, "ip:port for callers; default 127.0.0.1:8080");
    add("--rpc-listen", raw.rpcListen, "ip:port for other entry VMs; default: any port of 127.0.0.1");
    add("--store", raw.stores, "ip:port of the platform's store; may be repeated")->delimiter(',');
    add("--vm-list", raw.vmList, "ip:port of the platform's VM list");
    add("--scheduler", raw.schedulers, "name=ip:port of a scheduler; may be repeated")->delimiter(',');
    add("--peer", raw.peers, "name=ip:port of another entry; may be repeated")->delimiter(',');
    add("--tls-certificate", raw.certificate, "PEM file");
    add("--tls-private-key", raw.privateKey, "PEM file");
    add("--threads", raw.threads, "requests in progress or waiting at the same time; default 256");
    add("--default-timeout-ms", raw.defaultTimeout, "for callers that send no deadline; default 30000");
    add("--report-interval-ms", raw.reportInterval, "between two reports of a worker; default 1000");
    add("--drain-wait-ms", raw.drainWait, "after SIGTERM, for the balancer to notice; default 2000");
    try {
        app.parse(argc, argv);
    } catch (const CLI::CallForHelp&) {
        parsed.help = app.help();
        return parsed;
    } catch (const CLI::ParseError& error) {
        parsed.findings.push_back({ "command line", error.what() });
    }
    check(raw, parsed.settings, parsed.findings);
    return parsed;
}

} // namespace agatevane::entry
