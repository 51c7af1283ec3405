#pragma once

#include "node/prefix_reading.h"
#include <functional>
#include <string>
#include <vector>

namespace agatevane::node {

//! Follows all keys with a prefix: lists them, then watches them for changes, and lists them again if the store no
//! longer has the changes in between. At each time exactly one of these is under way: a listing, a watch, or the pause
//! before a watch.
class PrefixFollower {
public:
    struct Callbacks {
        std::function<void(kv::ReadResult listed)> listed; //!< replaces all that was known of the keys
        std::function<void(const std::vector<kv::Change>& changes)> changed; //!< called for changes only
    };

    //! How long the store may hold a watch, and the pause before the next one, which collects changes and saves calls.
    struct WatchTimes {
        Millis wait;
        Millis pause { 0 };
    };

    PrefixFollower(
        asio::io_context& context, kv::Store& store, std::string prefix, const WatchTimes& times, Callbacks callbacks);

    //! Begins with a listing. Called once, and not together with startAfter().
    void start();
    //! Begins with a watch for changes after `revision`, which a reading that began at `askedAt` has returned.
    void startAfter(kv::Revision revision, Instant askedAt = bootNow());
    //! Gives up the call that is under way and lists the keys at once: for when the store is known to answer again.
    void listAgain();
    void stop();

    //! Logs when the store's answers stay away for longer than a listing and a watch take, and when they come again.
    //! Called regularly.
    void reportSilence(Instant at);
    //! Time since the store last answered a listing or a watch; 0 before the start.
    Millis answerAge(Instant at) const;
    //! All changes before this time are known: it is when the call was sent that the store has answered last. Its
    //! answer may have been on its way for longer than a change takes to be made.
    Instant knownAsOf() const { return knownAsOf_; }

private:
    void list();
    void watch();
    void handleWatch(const kv::WatchResult& result);
    void noteAnswer();

    kv::Store& store_;
    std::string prefix_;
    WatchTimes times_;
    Callbacks callbacks_;
    kv::Revision revision_ = 0; //!< changes up to this one are known
    Instant answeredAt_; //!< Instant {}: not started
    Instant askedAt_; //!< when the listing or watch under way began
    Instant knownAsOf_;
    bool isSilenceReported_ = false;
    PrefixReading listing_;
    Timer watchTimer_; //!< the pause before the next watch
    Liveness liveness_;
};

} // namespace agatevane::node
