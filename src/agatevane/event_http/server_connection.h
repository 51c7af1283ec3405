#pragma once

#include "agatevane/event_http/server_state.h"
#include <deque>

namespace agatevane::event_http {

//! One connection of a server. It holds itself while an operation on its socket or a request of it is under way.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(
        asio::ip::tcp::socket socket, const asio::ip::address& source, std::shared_ptr<Server::State> server);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    //! Waits for the next bytes, unless enough requests are queued.
    void read();
    //! Reads what has arrived and handles it.
    void receive();
    void close();
    void closeIfIdle();
    //! Closes because of a limit. The client gets the status 503 if no other answer is under way.
    void closeBecause(CloseReason reason);

    bool isOpen() const { return socket_.is_open(); }
    bool isHandlingRequests() const { return isBusy_ || !queue_.empty(); }
    //! When the connection was made or its last request was answered. Bytes of an incomplete message don't count, so
    //! that a slow sender is not kept in preference to a client that is idle between two requests.
    Instant idleSince() const { return idleSince_; }
    std::optional<CloseReason> exceededLimit(Instant at) const;
    //! What closing the connection frees at once; nothing if the client is taking an answer.
    HeldMemory freeableMemory(Instant at) const;

private:
    struct QueuedRequest {
        Request request;
        bool isKeepAlive = false;
        std::size_t bytes = 0;
        Instant unreadSince; //!< see `unreadSince_`
    };

    void noteUnread();
    void process(std::string_view bytes);
    void startMessageTime();
    void startBodyTime();
    void enqueue(Request request, bool isKeepAlive);
    void handleNext();
    void send(Response response);
    void noteProgressOfAnswer();
    void finishAnswer(std::error_code error, bool isKeptOpen);
    void endCurrentRequest();
    void reject();
    void dropRequests();
    void uncount();
    std::size_t heldBytes() const;
    void updateBudget();

    asio::ip::tcp::socket socket_;
    asio::ip::address source_;
    std::shared_ptr<Server::State> server_;
    Parser parser_;
    std::deque<QueuedRequest> queue_;
    std::string out_;
    bool isReading_ = false; //!< waits for bytes, or for the pressure to fall
    bool hasPeerFinished_ = false; //!< the peer sends nothing more, but may still wait for answers
    bool isBusy_ = false; //!< a request is being handled or its response is being written
    bool isWriting_ = false;
    bool isKeepAlive_ = false;
    bool isInBody_ = false; //!< of the current message, as `deadlines_` have it
    bool isMessageTimeStopped_ = false; //!< nothing is read, because enough requests are queued
    bool isCounted_ = true; //!< among the server's open connections
    ConnectionDeadlines deadlines_;
    Instant idleSince_;
    //! When the bytes of the current or next read can have arrived first, on the clock of bootNow(), once that is
    //! known.
    std::optional<Instant> unreadSince_;
    Instant progressAt_; //!< when bytes last arrived or were taken
    std::size_t queuedBytes_ = 0; //!< held by the queue
    std::size_t countedBytes_ = 0; //!< as the budget has them
};

//! Tells the client that its request has not run, as far as its connection takes it at once.
void sendRefusal(asio::ip::tcp::socket& socket);

} // namespace agatevane::event_http
