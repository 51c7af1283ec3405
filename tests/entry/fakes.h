#pragma once

#include "agatevane/base/hash.h"
#include "agatevane/base/token.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/http/client.h"
#include "agatevane/http/server.h"
#include "entry/entry_server.h"
#include "standins/store/store_server.h"
#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>

//! Fakes, in the process of the tests, of the systems that the entry calls.
namespace agatevane::entry::test {

struct FakeCall {
    std::string attempt;
    std::string body;
};

//! A worker whose answers a test provides.
class FakeWorker {
public:
    using Answer = std::function<void(const FakeCall& call, http::Response& response)>;

    explicit FakeWorker(Answer answer = echo)
        : answer_(std::move(answer))
        , server_(http::ServerLimits { .threads = 24 })
    {
        server_.route("GET", "/v1/report", [this](const http::Request&, http::Response& response) {
            WorkerReport report;
            report.leaving = isLeaving;
            report.slots = 8;
            report.connections = 64;
            response.body = nlohmann::json(report).dump();
        });
        server_.route("POST", "/v1/calls", [this](const http::Request& request, http::Response& response) {
            auto message = nlohmann::json::parse(request.body);
            ++calls;
            FakeCall call { message["attempt"], message["body"] };
            answer_(call, response);
            std::lock_guard lock(mutex_);
            callsByAttempt_[call.attempt] = call;
        });
        server_.route("GET", "/v1/calls/([^/]+)", [this](const http::Request& request, http::Response& response) {
            reportAttempt(request.matches.at(1), response);
        });
        server_.route(
            "POST", "/v1/calls/([^/]+)/forbid", [this](const http::Request& request, http::Response& response) {
                reportAttempt(request.matches.at(1), response);
            });
        if (server_.bind("127.0.0.1", 0))
            throw std::runtime_error("fake worker cannot bind a port on 127.0.0.1");
        server_.start();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

    //! Writes a complete answer of this attempt, with matching length and digest.
    static void answerWith(const FakeCall& call, const std::string& body, http::Response& response)
    {
        response.body = body;
        response.headers = { { "Agatevane-Attempt", call.attempt }, { "Agatevane-Length", std::to_string(body.size()) },
            { "Agatevane-Digest", digestOf(body) } };
    }

    static void echo(const FakeCall& call, http::Response& response)
    {
        answerWith(call, "answer to " + call.body, response);
    }

    //! Refuses the call before its start.
    static void refuse(const char* reason, http::Response& response)
    {
        response.status = 503;
        response.body = std::string(R"({"title":")") + reason + R"("})";
    }

    std::atomic<int> calls = 0;
    std::atomic<bool> isLeaving = false;

private:
    //! Answers a query of an attempt: "done" with its answer if it has run, otherwise "forbidden".
    void reportAttempt(const std::string& attempt, http::Response& response)
    {
        std::lock_guard lock(mutex_);
        auto found = callsByAttempt_.find(attempt);
        if (found != callsByAttempt_.end())
            echo(found->second, response);
        else
            response.headers.emplace("Agatevane-Attempt", attempt);
        response.headers.emplace("Agatevane-Call-State", found != callsByAttempt_.end() ? "done" : "forbidden");
    }

    std::mutex mutex_;
    std::map<std::string, FakeCall> callsByAttempt_;
    Answer answer_;
    http::Server server_;
};

//! Runs an entry with a store, one service, two callers and the given workers.
struct Fixture {
    explicit Fixture(const std::vector<FakeWorker*>& workers, Settings settings = {})
    {
        if (store.start())
            throw std::runtime_error("the stand-in store cannot start");
        writeCatalogue(workers);
        settings.stores = { storeEndpoint() };
        server = std::make_unique<EntryServer>(withDefaults(std::move(settings)));
        if (server->start())
            throw std::runtime_error("the entry cannot start");
        client = std::make_unique<http::Client>(http::Endpoint { "127.0.0.1", server->port(), false, {} });
        waitForWorkers(static_cast<int>(workers.size()));
    }

    http::Endpoint storeEndpoint() const { return { "127.0.0.1", store.port(), false, {} }; }

    void writeCatalogue(const std::vector<FakeWorker*>& workers)
    {
        DataCentreEntry dataCentre { .id = { "dc" }, .region = { "harju" } };
        for (std::size_t i = 0; i < workers.size(); ++i) {
            dataCentre.workers.push_back({ .id = { "w" + std::to_string(i) },
                .rack = { "r1" },
                .address = workers[i]->address(),
                .service = { "visitdesk" },
                .capacity = { 8, 8, 1024 } });
        }
        store::Client writer({ storeEndpoint() });
        std::vector<Entry> entries { WorkspaceEntry { .id = { "ws" } },
            CallerEntry { .id = { "alice" }, .workspace = { "ws" }, .tokenDigest = tokenDigestOf("secret") },
            CallerEntry { .id = { "bob" },
                .workspace = { "ws" },
                .tokenDigest = tokenDigestOf("slow"),
                .requestsPerSecond = 0.001 },
            ServiceEntry { .id = { "visitdesk" } }, dataCentre };
        for (const auto& entry : entries) {
            if (!writer.put({ storeKeyOf(keyOf(entry)), encodeEntry(entry) }, now() + Millis(2000)).ok())
                throw std::runtime_error("cannot write the catalogue");
        }
    }

    static Settings withDefaults(Settings settings)
    {
        settings.name = { "vm1" };
        settings.region = { "harju" };
        settings.listen = { "127.0.0.1", 0 };
        settings.reportInterval = Millis(100);
        settings.threads = 48;
        return settings;
    }

    //! Waits until the entry has a report of every worker, since workers get no calls before their first report.
    void waitForWorkers(int count)
    {
        auto expectedLine = R"(agatevane_workers{state="usable"} )" + std::to_string(count);
        auto deadline = now() + Millis(5000);
        auto isReady = [&] {
            return client->request("GET", "/readyz", "", now() + Millis(2000)).status == 200
                && metrics().find(expectedLine) != std::string::npos;
        };
        while (now() < deadline && !isReady())
            std::this_thread::sleep_for(Millis(10));
    }

    std::string metrics() { return client->request("GET", "/metrics", "", now() + Millis(2000)).body; }

    http::ClientResult call(const std::string& body, http::Headers headers = { { "Agatevane-Idempotent", "true" } },
        Millis timeout = Millis(10000))
    {
        if (!headers.contains("Authorization"))
            headers.emplace("Authorization", "Bearer secret");
        return client->request("POST", "/v1/services/visitdesk/calls", body, now() + timeout, headers);
    }

    static std::string outcomeOf(const http::ClientResult& result)
    {
        auto problem = nlohmann::json::parse(result.body, nullptr, false);
        return problem.is_object() ? problem.value("outcome", "") : "";
    }

    standin::StoreServer store { standin::StoreSettings { .threads = 32, .progressMs = 200 } };
    std::unique_ptr<EntryServer> server;
    std::unique_ptr<http::Client> client;
};

} // namespace agatevane::entry::test
