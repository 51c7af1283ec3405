#include "agatevane/http/server.h"

#include "agatevane/base/error.h"
#include "agatevane/http/problem.h"
#include <atomic>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace agatevane::http {

namespace {

    //! Counts the connections that wait or are being served, since the queue of httplib's own pool is unbounded.
    //! Connections beyond the bound still get a thread, but the pre-routing handler answers them with 503 and runs no
    //! route handler.
    class CountingPool : public httplib::TaskQueue {
    public:
        CountingPool(int threads, std::atomic<int>& connectionCount)
            : connectionCount_(connectionCount)
        {
            for (int i = 0; i < threads; ++i)
                threads_.emplace_back([this] { run(); });
        }

        void enqueue(std::function<void()> task) override
        {
            {
                std::lock_guard lock(mutex_);
                tasks_.push_back(std::move(task));
                ++connectionCount_;
            }
            taskAvailable_.notify_one();
        }

        void shutdown() override
        {
            {
                std::lock_guard lock(mutex_);
                isStopping_ = true;
            }
            taskAvailable_.notify_all();
            for (auto& thread : threads_)
                thread.join();
        }

    private:
        void run()
        {
            while (true) {
                std::function<void()> task;
                {
                    std::unique_lock lock(mutex_);
                    taskAvailable_.wait(lock, [this] { return !tasks_.empty() || isStopping_; });
                    if (tasks_.empty())
                        return;
                    task = std::move(tasks_.front());
                    tasks_.pop_front();
                }
                task();
                --connectionCount_;
            }
        }

        std::atomic<int>& connectionCount_;
        std::mutex mutex_;
        std::condition_variable taskAvailable_;
        std::deque<std::function<void()>> tasks_;
        std::vector<std::thread> threads_;
        bool isStopping_ = false;
    };

    Request toRequest(const httplib::Request& from)
    {
        Request request;
        request.method = from.method;
        request.path = from.path;
        for (const auto& match : from.matches)
            request.matches.push_back(match.str());
        request.parameters.insert(from.params.begin(), from.params.end());
        request.headers.insert(from.headers.begin(), from.headers.end());
        request.body = from.body;
        request.remoteAddress = from.remote_addr;
        return request;
    }

    void copyResponse(Response& from, httplib::Response& to)
    {
        to.status = from.status;
        for (const auto& [name, value] : from.headers)
            to.set_header(name, value);
        to.set_content(from.body, from.contentType);
    }

    void writeError(httplib::Response& to, int status, const std::string& title, std::optional<Outcome> outcome)
    {
        Response response;
        Problem problem { .status = status, .title = title };
        problem.outcome = outcome;
        if (status == 503)
            problem.retryAfterSeconds = 1;
        writeProblem(problem, response);
        copyResponse(response, to);
    }

} // namespace

struct Server::State {
    std::unique_ptr<httplib::Server> server;
    std::atomic<int> connectionCount { 0 };
    int port = 0;
    std::thread thread;
};

Server::Server(const ServerLimits& limits, const std::optional<TlsFiles>& tls)
    : state_(std::make_unique<State>())
{
    if (tls)
        state_->server = std::make_unique<httplib::SSLServer>(tls->certificate.c_str(), tls->privateKey.c_str());
    else
        state_->server = std::make_unique<httplib::Server>();
    auto& server = *state_->server;
    auto& connectionCount = state_->connectionCount;
    server.new_task_queue
        = [threads = limits.threads, &connectionCount] { return new CountingPool(threads, connectionCount); };
    server.set_payload_max_length(limits.maxBodyBytes);
    server.set_read_timeout(limits.readTimeout);
    server.set_write_timeout(limits.writeTimeout);
    server.set_keep_alive_timeout(std::max<time_t>(1, limits.keepAliveTimeout.count() / 1000));
    server.set_keep_alive_max_count(static_cast<size_t>(limits.keepAliveRequests));
    server.set_tcp_nodelay(true);
    // httplib's default also sets SO_REUSEPORT, with which two programs could both bind one port and would each receive
    // a part of its calls.
    server.set_socket_options([](socket_t socket) {
        int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    });
    const int maxConnections = limits.threads + limits.queuedConnections;
    server.set_pre_routing_handler(
        [maxConnections, &connectionCount](const httplib::Request&, httplib::Response& response) {
            if (connectionCount.load(std::memory_order_relaxed) <= maxConnections)
                return httplib::Server::HandlerResponse::Unhandled;
            response.set_header("Connection", "close");
            writeError(response, 503, "too many connections", Outcome::NotRun);
            return httplib::Server::HandlerResponse::Handled;
        });
    server.set_exception_handler([](const httplib::Request&, httplib::Response& response, std::exception_ptr) {
        writeError(response, 500, "internal error", std::nullopt);
    });
    server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (response.body.empty())
            writeError(response, response.status, "HTTP status " + std::to_string(response.status), std::nullopt);
    });
}

Server::~Server()
{
    stop();
}

void Server::route(const std::string& method, const std::string& pattern, Handler handler)
{
    auto adapter = [handler = std::move(handler)](const httplib::Request& from, httplib::Response& to) {
        Response response;
        handler(toRequest(from), response);
        copyResponse(response, to);
    };
    auto& server = *state_->server;
    if (method == "GET")
        server.Get(pattern, adapter);
    else if (method == "POST")
        server.Post(pattern, adapter);
    else if (method == "PUT")
        server.Put(pattern, adapter);
    else if (method == "DELETE")
        server.Delete(pattern, adapter);
    else if (method == "PATCH")
        server.Patch(pattern, adapter);
}

void Server::routeStream(const std::string& method, const std::string& pattern, StreamHandler handler)
{
    auto adapter = [handler = std::move(handler)](const httplib::Request& from, httplib::Response& to) {
        Response response;
        auto source = handler(toRequest(from), response);
        if (!source) {
            copyResponse(response, to);
            return;
        }
        to.status = response.status;
        to.set_chunked_content_provider(
            response.contentType, [source = std::move(source)](size_t, httplib::DataSink& sink) {
                std::string chunk;
                bool more = source(chunk);
                if (!chunk.empty() && !sink.write(chunk.data(), chunk.size()))
                    return false;
                if (!more)
                    sink.done();
                return true;
            });
    };
    if (method == "GET")
        state_->server->Get(pattern, adapter);
    else
        state_->server->Post(pattern, adapter);
}

std::error_code Server::bind(const std::string& address, int port)
{
    auto& server = *state_->server;
    if (!server.is_valid())
        return Errc::Refused;
    if (port == 0) {
        state_->port = server.bind_to_any_port(address);
        return state_->port > 0 ? std::error_code() : Errc::Refused;
    }
    state_->port = port;
    return server.bind_to_port(address, port) ? std::error_code() : Errc::Refused;
}

int Server::port() const
{
    return state_->port;
}

void Server::start()
{
    state_->thread = std::thread([this] { state_->server->listen_after_bind(); });
    while (!state_->server->is_running())
        std::this_thread::sleep_for(Millis(1));
}

void Server::stop()
{
    if (!state_->thread.joinable())
        return;
    state_->server->stop();
    state_->thread.join();
}

} // namespace agatevane::http
