#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace rig {

namespace {

    constexpr int tickMs = 5;
    constexpr std::size_t readBytes = 65536;

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    //! The length of the header with its empty line; nothing if it is not complete.
    std::optional<std::size_t> headerLength(const std::string& bytes)
    {
        auto end = bytes.find("\r\n\r\n");
        return end == std::string::npos ? std::nullopt : std::optional(end + 4);
    }

    Headers parseHeaders(const std::string& bytes, std::size_t length)
    {
        Headers headers;
        auto at = bytes.find("\r\n") + 2;
        while (at + 2 < length) {
            auto end = bytes.find("\r\n", at);
            auto colon = bytes.find(':', at);
            if (colon != std::string::npos && colon < end) {
                auto value = bytes.substr(colon + 1, end - colon - 1);
                value.erase(0, value.find_first_not_of(' '));
                headers[lowerCase(bytes.substr(at, colon - at))] = value;
            }
            at = end + 2;
        }
        return headers;
    }

    std::size_t bodyLength(const Headers& headers)
    {
        auto found = headers.find("content-length");
        return found == headers.end() ? 0 : std::stoul(found->second);
    }

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ownAddress().c_str(), &address.sin_addr);
        return address;
    }

    //! A listening or only bound socket; -1 if the port is taken.
    int bindTo(int port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return socket;
        ::close(socket);
        return -1;
    }

    int portOf(int socket)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    bool waitFor(int socket, short events, std::int64_t deadline)
    {
        pollfd waiting { socket, events, 0 };
        auto left = deadline - steadyMs();
        return left > 0 && ::poll(&waiting, 1, static_cast<int>(left)) > 0;
    }

    bool sendAll(int socket, const std::string& bytes, std::int64_t deadline)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (errno != EAGAIN || !waitFor(socket, POLLOUT, deadline))
                return false;
        }
        return true;
    }

    Response receiveResponse(int socket, std::int64_t deadline)
    {
        std::string bytes;
        char buffer[readBytes];
        while (waitFor(socket, POLLIN, deadline)) {
            auto count = ::recv(socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                return {};
            bytes.append(buffer, static_cast<std::size_t>(count));
            auto header = headerLength(bytes);
            if (!header)
                continue;
            auto length = bodyLength(parseHeaders(bytes, *header));
            if (bytes.size() >= *header + length)
                return { std::stoi(bytes.substr(bytes.find(' ') + 1, 3)), bytes.substr(*header, length) };
        }
        return {};
    }

} // namespace

const std::string& ownAddress()
{
    constexpr int hosts = 250;
    static const std::string address
        = "127." + std::to_string(1 + ::getpid() / hosts % hosts) + "." + std::to_string(1 + ::getpid() % hosts) + ".1";
    return address;
}

std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Server::Connection {
    int socket = -1;
    const Handler* handler = nullptr;
    std::string in;
    std::string out;
    bool isHandling = false;

    ~Connection() { ::close(socket); }
};

Server::Server() = default;

Server::~Server()
{
    stop();
    for (const auto& listener : listeners_)
        ::close(listener.socket);
}

int Server::listen(Handler handler)
{
    int socket = bindTo(0);
    if (socket < 0 || ::listen(socket, SOMAXCONN) != 0)
        throw std::runtime_error("can't listen");
    listeners_.push_back({ socket, std::move(handler) });
    return portOf(socket);
}

void Server::start(std::function<void()> tick)
{
    tick_ = std::move(tick);
    thread_ = std::thread([this] { run(); });
}

void Server::stop()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void Server::run()
{
    while (!isStopping_) {
        std::vector<pollfd> waiting;
        for (const auto& listener : listeners_)
            waiting.push_back({ listener.socket, POLLIN, 0 });
        for (const auto& connection : connections_)
            waiting.push_back(
                { connection->socket, static_cast<short>(POLLIN | (connection->out.empty() ? 0 : POLLOUT)), 0 });
        ::poll(waiting.data(), waiting.size(), tickMs);
        std::lock_guard lock(mutex_);
        auto polled = connections_;
        for (std::size_t index = 0; index < listeners_.size(); ++index) {
            if (waiting[index].revents != 0)
                acceptFrom(listeners_[index]);
        }
        for (std::size_t index = 0; index < polled.size(); ++index) {
            auto events = waiting[listeners_.size() + index].revents;
            if ((events & POLLOUT) != 0)
                flush(*polled[index]);
            if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !receive(polled[index]))
                std::erase(connections_, polled[index]);
        }
        tick_();
    }
}

void Server::acceptFrom(const Listener& listener)
{
    int socket = ::accept4(listener.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0)
        return;
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>();
    connection->socket = socket;
    connection->handler = &listener.handler;
    connections_.push_back(connection);
}

//! False if the connection has ended.
bool Server::receive(const std::shared_ptr<Connection>& connection)
{
    char buffer[readBytes];
    auto count = ::recv(connection->socket, buffer, sizeof buffer, 0);
    if (count == 0 || (count < 0 && errno != EAGAIN))
        return false;
    if (count > 0)
        connection->in.append(buffer, static_cast<std::size_t>(count));
    while (!connection->isHandling) {
        auto header = headerLength(connection->in);
        if (!header)
            return true;
        Request request;
        request.headers = parseHeaders(connection->in, *header);
        auto length = bodyLength(request.headers);
        if (connection->in.size() < *header + length)
            return true;
        auto space = connection->in.find(' ');
        request.method = connection->in.substr(0, space);
        request.target = connection->in.substr(space + 1, connection->in.find(' ', space + 1) - space - 1);
        request.body = connection->in.substr(*header, length);
        connection->in.erase(0, *header + length);
        connection->isHandling = true;
        std::weak_ptr<Connection> weak = connection;
        (*connection->handler)(request, [weak](int status, const std::string& body) {
            auto answered = weak.lock();
            if (!answered)
                return;
            answered->isHandling = false;
            answered->out += "HTTP/1.1 " + std::to_string(status) + " X\r\ncontent-type: application/json\r\n"
                + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            flush(*answered);
        });
    }
    return true;
}

void Server::flush(Connection& connection)
{
    while (!connection.out.empty()) {
        auto count = ::send(connection.socket, connection.out.data(), connection.out.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return;
        connection.out.erase(0, static_cast<std::size_t>(count));
    }
}

Response call(int port, const std::string& method, const std::string& target, const Headers& headers,
    const std::string& body, std::int64_t timeoutMs)
{
    auto deadline = steadyMs() + timeoutMs;
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Response response;
    bool isConnected = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
        || (errno == EINPROGRESS && waitFor(socket, POLLOUT, deadline));
    std::string head = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    if (!body.empty())
        head += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (isConnected && sendAll(socket, head + "\r\n" + body, deadline))
        response = receiveResponse(socket, deadline);
    ::close(socket);
    return response;
}

int freePorts(int count)
{
    constexpr int lowest = 12000;
    constexpr int highest = 30000;
    std::random_device random;
    for (;;) {
        int first = lowest + static_cast<int>(random() % (highest - lowest));
        bool areFree = true;
        for (int offset = 0; offset < count && areFree; ++offset) {
            int socket = bindTo(first + offset);
            areFree = socket >= 0;
            if (areFree)
                ::close(socket);
        }
        if (areFree)
            return first;
    }
}

} // namespace rig
