#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rig {

namespace {

    constexpr int pollIntervalMs = 20;

    sockaddr_in endpointOf(const std::string& address, int port)
    {
        sockaddr_in endpoint {};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
        return endpoint;
    }

    void resetOnClose(int socket)
    {
        linger option { 1, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    bool writeAll(int socket, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            auto written = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (written <= 0)
                return false;
            sent += static_cast<std::size_t>(written);
        }
        return true;
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    std::string unescape(const std::string& text)
    {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }

    //! Splits the head of a message into its first line and its headers.
    std::string parseHead(const std::string& head, std::map<std::string, std::string>& headers)
    {
        auto lineEnd = head.find("\r\n");
        auto first = head.substr(0, lineEnd);
        while (lineEnd != std::string::npos && lineEnd + 2 < head.size()) {
            auto begin = lineEnd + 2;
            lineEnd = head.find("\r\n", begin);
            auto line = head.substr(begin, lineEnd == std::string::npos ? lineEnd : lineEnd - begin);
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers[lower(line.substr(0, colon))] = value;
        }
        return first;
    }

    std::size_t lengthIn(const std::map<std::string, std::string>& headers)
    {
        auto found = headers.find("content-length");
        return found == headers.end() ? 0 : std::strtoul(found->second.c_str(), nullptr, 10);
    }

    //! Cuts one whole request from the front of `buffer`; false if it is not whole yet.
    bool takeRequest(std::string& buffer, HttpRequest& request)
    {
        auto headEnd = buffer.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        request = {};
        auto first = parseHead(buffer.substr(0, headEnd + 2), request.headers);
        auto bodyBytes = lengthIn(request.headers);
        if (buffer.size() < headEnd + 4 + bodyBytes)
            return false;
        request.body = buffer.substr(headEnd + 4, bodyBytes);
        buffer.erase(0, headEnd + 4 + bodyBytes);
        auto space = first.find(' ');
        request.method = first.substr(0, space);
        auto target = first.substr(space + 1, first.rfind(' ') - space - 1);
        auto mark = target.find('?');
        request.path = target.substr(0, mark);
        while (mark != std::string::npos) {
            auto next = target.find('&', mark + 1);
            auto part = target.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
            auto equals = part.find('=');
            if (equals != std::string::npos)
                request.query[part.substr(0, equals)] = unescape(part.substr(equals + 1));
            mark = next;
        }
        return true;
    }

} // namespace

std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, duration)));
}

struct HttpServer::State {
    Handler handler;
    int listener = -1;
    std::atomic<bool> isStopped { false };
    std::atomic<bool> isStalled { false };
    std::atomic<bool> isListenerClosed { false };
    std::mutex mutex;
    std::set<int> connections;
    std::set<int> dropped; //!< connections that end without an answer to what has arrived

    void serve(int socket)
    {
        std::string buffer;
        HttpRequest request;
        bool isMute = false;
        char bytes[65536];
        while (!isStopped) {
            if (isStalled) {
                sleepMs(pollIntervalMs);
                continue;
            }
            if (!isMute && takeRequest(buffer, request)) {
                if (!answer(socket, request, isMute))
                    break;
                continue;
            }
            pollfd wait { socket, POLLIN, 0 };
            if (::poll(&wait, 1, pollIntervalMs) == 0 || isStalled)
                continue;
            if (isDropped(socket))
                break;
            auto size = ::recv(socket, bytes, sizeof bytes, 0);
            if (size <= 0)
                break;
            buffer.append(bytes, static_cast<std::size_t>(size));
        }
        {
            std::lock_guard lock(mutex);
            connections.erase(socket);
            dropped.erase(socket);
        }
        ::close(socket);
    }

    //! Resets the channels that wait to be accepted, and those with a request that was not read.
    void dropArrivals()
    {
        pollfd wait { listener, POLLIN, 0 };
        while (::poll(&wait, 1, 0) > 0) {
            auto socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                break;
            resetOnClose(socket);
            ::close(socket);
        }
        std::lock_guard lock(mutex);
        for (auto socket : connections) {
            pollfd arrived { socket, POLLIN, 0 };
            if (::poll(&arrived, 1, 0) == 0)
                continue;
            resetOnClose(socket);
            ::shutdown(socket, SHUT_RDWR);
            dropped.insert(socket);
        }
    }

    bool isDropped(int socket)
    {
        std::lock_guard lock(mutex);
        return dropped.count(socket) > 0;
    }

    //! False if the connection has ended.
    bool answer(int socket, const HttpRequest& request, bool& isMute)
    {
        auto reply = handler(request);
        if (isStopped)
            return false;
        if (reply.delivery == Delivery::Reset) {
            resetOnClose(socket);
            return false;
        }
        isMute = reply.delivery == Delivery::NoAnswer;
        return isMute
            || writeAll(socket,
                "HTTP/1.1 " + std::to_string(reply.status) + " -\r\ncontent-type: application/json\r\ncontent-length: "
                    + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body);
    }
};

HttpServer::HttpServer(const std::string& address, Handler handler, int port, int backlog)
    : state_(std::make_shared<State>())
{
    state_->handler = std::move(handler);
    state_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(state_->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto endpoint = endpointOf(address, port);
    socklen_t size = sizeof endpoint;
    if (::bind(state_->listener, reinterpret_cast<sockaddr*>(&endpoint), size) != 0
        || ::listen(state_->listener, backlog) != 0
        || ::getsockname(state_->listener, reinterpret_cast<sockaddr*>(&endpoint), &size) != 0) {
        std::perror("the rig can't listen");
        std::_Exit(2);
    }
    port_ = ntohs(endpoint.sin_port);
    std::thread([state = state_] {
        while (!state->isStopped) {
            pollfd wait { state->listener, POLLIN, 0 };
            if (state->isStalled) {
                sleepMs(pollIntervalMs);
                continue;
            }
            if (::poll(&wait, 1, pollIntervalMs) <= 0 || state->isStalled || state->isStopped)
                continue;
            auto socket = ::accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            int noDelay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            std::lock_guard lock(state->mutex);
            state->connections.insert(socket);
            std::thread([state, socket] { state->serve(socket); }).detach();
        }
        ::close(state->listener);
        state->isListenerClosed = true;
    }).detach();
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    state_->isStopped = true;
    while (!state_->isListenerClosed)
        sleepMs(1);
    std::lock_guard lock(state_->mutex);
    for (auto socket : state_->connections) {
        resetOnClose(socket);
        ::shutdown(socket, SHUT_RDWR);
    }
}

void HttpServer::setStalled(bool isStalled)
{
    if (!isStalled && state_->isStalled)
        state_->dropArrivals();
    state_->isStalled = isStalled;
}

HttpResult send(const std::string& address, int port, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    HttpResult result;
    auto deadline = nowMs() + timeoutMs;
    auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto endpoint = endpointOf(address, port);
    std::string out = method + " " + target + " HTTP/1.1\r\ncontent-length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    out += "\r\n" + body;
    if (::connect(socket, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 || !writeAll(socket, out)) {
        ::close(socket);
        return result;
    }
    std::string in;
    char bytes[65536];
    while (nowMs() < deadline) {
        pollfd wait { socket, POLLIN, 0 };
        if (::poll(&wait, 1, pollIntervalMs) == 0)
            continue;
        auto size = ::recv(socket, bytes, sizeof bytes, 0);
        if (size <= 0)
            break;
        in.append(bytes, static_cast<std::size_t>(size));
        auto headEnd = in.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        std::map<std::string, std::string> answerHeaders;
        auto first = parseHead(in.substr(0, headEnd + 2), answerHeaders);
        auto bodyBytes = lengthIn(answerHeaders);
        if (in.size() < headEnd + 4 + bodyBytes)
            continue;
        result.status = std::atoi(first.c_str() + first.find(' '));
        result.body = in.substr(headEnd + 4, bodyBytes);
        break;
    }
    ::close(socket);
    return result;
}

std::vector<int> freePorts(const std::string& address, int count)
{
    std::vector<int> sockets;
    std::vector<int> ports;
    for (int n = 0; n < count; ++n) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto endpoint = endpointOf(address, 0);
        socklen_t size = sizeof endpoint;
        ::bind(sockets.back(), reinterpret_cast<sockaddr*>(&endpoint), size);
        ::getsockname(sockets.back(), reinterpret_cast<sockaddr*>(&endpoint), &size);
        ports.push_back(ntohs(endpoint.sin_port));
    }
    for (auto socket : sockets)
        ::close(socket);
    return ports;
}

} // namespace rig
