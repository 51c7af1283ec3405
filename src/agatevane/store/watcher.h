#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/store/client.h"
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace agatevane::store {

//! Handlers of what a watcher reports. It calls them on its own thread, in order of revision.
struct WatchHandlers {
    //! All keys under the prefix as of `revision`; known keys that are not among them have been deleted.
    std::function<void(const std::vector<KeyValue>& kvs, Revision revision)> onSnapshot;
    //! Changes after the last reported revision.
    std::function<void(const std::vector<Event>& events, Revision revision)> onEvents;
    //! There were no further changes up to `revision`.
    std::function<void(Revision revision)> onProgress;
};

struct WatcherOptions {
    //! A watch that receives no message for this long is opened again. The store reports progress only every ten
    //! minutes unless it is configured otherwise, so this bounds how long a silently broken connection goes unnoticed,
    //! at the cost of one call each time.
    Millis idleTimeout { 15000 };
    Millis readTimeout { 5000 };
    Millis minBackoff { 100 };
    Millis maxBackoff { 2000 };
};

//! Reports the keys under a prefix and their changes: one full read, then a watch from the next revision. After a lost
//! connection it resumes after the last delivered revision, and reads all keys again if the store has compacted that
//! one.
class Watcher {
public:
    Watcher(Client& client, std::string prefix, WatchHandlers handlers, const WatcherOptions& options = {});
    ~Watcher();
    Watcher(const Watcher&) = delete;
    Watcher& operator=(const Watcher&) = delete;

    void start();

    //! Ends all watches of the client and joins the thread.
    void stop();

private:
    void run();
    bool readSnapshot();
    bool watchChanges();
    void onResponse(const WatchResponse& response);

    Client& client_;
    std::string prefix_;
    WatchHandlers handlers_;
    WatcherOptions options_;
    Revision deliveredRevision_ = 0; //!< 0: a full read is needed
    bool didReceiveMessage_ = false; //!< a message arrived on the current connection
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> hasThreadEnded_ { false };
    std::thread thread_;
};

} // namespace agatevane::store
