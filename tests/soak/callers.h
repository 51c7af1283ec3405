#pragma once

#include "agatevane/base/random.h"
#include "agatevane/event_http/client.h"
#include "tests/soak/ledger.h"
#include <asio/io_context.hpp>
#include <string>
#include <vector>

namespace agatevane::soak {

//! Callers that submit, cancel and ask for jobs at any node. They keep their connections for as long as a node's
//! process keeps them.
class Callers {
public:
    Callers(Ledger& ledger, std::vector<int> ports, std::uint64_t seed);

    //! Sends what is due and takes answers for `span`.
    void run(Millis span);
    void stopSubmitting() { isSubmitting_ = false; }
    //! From now on calls carry this key.
    void useKey(const std::string& key) { key_ = key; }
    //! True while accepted jobs that nobody cancelled have not ended.
    bool isOwed() const;
    std::int64_t nowMs() const;
    int answered(int status) const;

private:
    struct Pending {
        std::string job;
        int attempts = 0;
    };

    void submitNew();
    void attempt(const std::string& job, int attempts);
    void noteSubmission(const std::string& job, int attempts, std::error_code error, int status);
    void cancelSome();
    void cancel(const std::string& job);
    void askStates();
    void send(
        const std::string& method, const std::string& job, const std::string& body, event_http::ResponseHandler done);
    std::string bodyOf(const std::string& job) const;

    Ledger& ledger_;
    std::vector<int> ports_;
    Random random_;
    asio::io_context context_;
    event_http::Client client_;
    std::string key_ = "key-1";
    bool isSubmitting_ = true;
    std::int64_t nextSubmitMs_ = 0;
    std::int64_t nextCancelMs_ = 0;
    std::int64_t nextAskMs_ = 0;
    std::multimap<std::int64_t, Pending> retries_;
    std::map<std::string, std::int64_t> durations_;
    std::map<int, int> answers_;
    std::uint64_t nextJob_ = 1;
};

} // namespace agatevane::soak
