#include "standins/relay/relay.h"

#include "agatevane/http/client.h"
#include "agatevane/json/reader.h"
#include <asio/post.hpp>
#include <charconv>
#include <future>

namespace agatevane::standin {

namespace {

    bool matches(const std::string& pattern, const std::string& name)
    {
        if (pattern.ends_with('*'))
            return name.starts_with(pattern.substr(0, pattern.size() - 1));
        return name == pattern;
    }

    bool isPort(const std::string& text, int& port)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        return error == std::errc() && end == text.data() + text.size() && port >= 0 && port <= 65535;
    }

} // namespace

bool parseLink(const std::string& text, LinkSettings& link)
{
    auto equals = text.find('=');
    auto colon = text.find(':', equals == std::string::npos ? 0 : equals);
    if (equals == std::string::npos || equals == 0 || colon == std::string::npos)
        return false;
    link.name = text.substr(0, equals);
    link.protocol = text.substr(equals + 1, colon - equals - 1);
    auto rest = text.substr(colon + 1);
    auto first = rest.substr(0, rest.find(':'));
    if (isPort(first, link.port))
        rest = rest.substr(std::min(rest.size(), first.size() + 1));
    else
        link.port = 0;
    http::Endpoint target;
    if (!http::parseEndpoint(rest, target) || (link.protocol != "tcp" && link.protocol != "udp"))
        return false;
    link.targetAddress = target.address;
    link.targetPort = target.port;
    return true;
}

Relay::Relay(std::string address, int controlPort)
    : address_(std::move(address))
    , requestedControlPort_(controlPort)
    , guard_(asio::make_work_guard(context_))
    , control_(http::ServerLimits { .threads = 4 })
{
    addControlRoutes();
    thread_ = std::thread([this] { context_.run(); });
}

Relay::~Relay()
{
    stop();
}

std::error_code Relay::start()
{
    if (auto error = control_.bind(address_, requestedControlPort_))
        return error;
    control_.start();
    return {};
}

void Relay::stop()
{
    if (!thread_.joinable())
        return;
    control_.stop();
    runOnLinks([this] { links_.clear(); });
    context_.stop();
    thread_.join();
}

void Relay::runOnLinks(const std::function<void()>& function)
{
    std::promise<void> done;
    asio::post(context_, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

int Relay::add(const LinkSettings& settings)
{
    int port = 0;
    runOnLinks([&] {
        try {
            auto listenAddress
                = asio::ip::make_address(settings.listenAddress.empty() ? address_ : settings.listenAddress);
            auto targetAddress = asio::ip::make_address(settings.targetAddress);
            auto listen = static_cast<std::uint16_t>(settings.port);
            auto target = static_cast<std::uint16_t>(settings.targetPort);
            auto& link = links_[settings.name];
            link.reset();
            if (settings.protocol == "tcp")
                link = std::make_unique<TcpLink>(context_, asio::ip::tcp::endpoint(listenAddress, listen),
                    asio::ip::tcp::endpoint(targetAddress, target));
            else
                link = std::make_unique<UdpLink>(context_, asio::ip::udp::endpoint(listenAddress, listen),
                    asio::ip::udp::endpoint(targetAddress, target));
            port = link->port();
        } catch (const std::system_error&) {
            links_.erase(settings.name);
        }
    });
    return port;
}

int Relay::apply(const std::string& pattern, const LinkState& state)
{
    int count = 0;
    runOnLinks([&] {
        for (auto& [name, link] : links_) {
            if (!matches(pattern, name))
                continue;
            try {
                link->apply(state);
                ++count;
            } catch (const std::system_error&) {
                // Another program took the port during the cut. The test sees the failure in the returned count.
                continue;
            }
        }
    });
    return count;
}

void Relay::reset(const std::string& pattern)
{
    runOnLinks([&] {
        for (auto& [name, link] : links_) {
            if (matches(pattern, name))
                link->reset();
        }
    });
}

nlohmann::json Relay::describe()
{
    auto links = nlohmann::json::object();
    runOnLinks([&] {
        for (const auto& [name, link] : links_) {
            const auto& counts = link->counts();
            links[name] = { { "port", link->port() }, { "connections", counts.connections }, { "bytes", counts.bytes },
                { "dropped", counts.dropped } };
        }
    });
    return { { "control", controlPort() }, { "links", std::move(links) } };
}

void Relay::addControlRoutes()
{
    control_.route("GET", "/control/links",
        [this](const http::Request&, http::Response& response) { response.body = json::dump(describe()); });
    // The body has the form of the --link option.
    control_.route("POST", "/control/links", [this](const http::Request& request, http::Response& response) {
        LinkSettings settings;
        int port = parseLink(request.body, settings) ? add(settings) : 0;
        response.status = port > 0 ? 200 : 400;
        response.body = json::dump({ { "port", port } });
    });
    control_.route("POST", "/control/links/([^/]+)", [this](const http::Request& request, http::Response& response) {
        Findings findings;
        nlohmann::json body;
        LinkState state;
        std::int64_t delayMs = 0;
        std::int64_t bytesPerSecond = 0;
        if (json::parse(request.body, "body", body, findings)) {
            json::ObjectReader reader(body, "", findings);
            reader.read("cut", state.isCut, json::Presence::Optional);
            reader.read("stalled", state.isStalled, json::Presence::Optional);
            reader.read("holdsAnswers", state.holdsAnswers, json::Presence::Optional);
            reader.read("delayMs", delayMs, json::Presence::Optional, 0, 600000);
            reader.read("bytesPerSecond", bytesPerSecond, json::Presence::Optional, 0);
            reader.finish();
        }
        state.delay = std::chrono::milliseconds(delayMs);
        state.bytesPerSecond = static_cast<std::uint64_t>(bytesPerSecond);
        int count = findings.empty() ? apply(request.matches.at(1), state) : 0;
        response.status = !findings.empty() ? 400 : count > 0 ? 200 : 404;
        response.body = json::dump({ { "links", count } });
    });
}

} // namespace agatevane::standin
