#include "agatevane/event_http/server_connection.h"

#include <asio/write.hpp>

namespace agatevane::event_http {

namespace {

    using asio::ip::tcp;

    constexpr int statusBadRequest = 400;

    //! What the event loop and the kernel's interface hold for a connection, beside its own object.
    constexpr std::size_t loopBytesPerConnection = 2048;
    //! The buffer of a longer answer is freed once the answer is written; others are used again.
    constexpr std::size_t maxKeptAnswerBytes = 1024;
    //! A client that has taken no byte of an answer for this long is not taking it.
    constexpr Millis answerPause { 1000 };

    const char* reasonPhrase(int status)
    {
        return http_status_str(static_cast<http_status>(status));
    }

    CloseReason closeReasonOf(ParseFailure failure)
    {
        switch (failure) {
        case ParseFailure::HeaderSize:
            return CloseReason::HeaderSize;
        case ParseFailure::BodySize:
            return CloseReason::BodySize;
        case ParseFailure::None:
        case ParseFailure::Malformed:
            return CloseReason::Malformed;
        }
        return CloseReason::Malformed;
    }

} // namespace

ServerConnection::ServerConnection(
    tcp::socket socket, const asio::ip::address& source, std::shared_ptr<Server::State> server)
    : socket_(std::move(socket))
    , source_(source)
    , server_(std::move(server))
    , parser_(HTTP_REQUEST, server_->options.limits.message,
          [this](Request request, const Response&, bool isKeepAlive) { enqueue(std::move(request), isKeepAlive); })
    , idleSince_(now())
    , progressAt_(idleSince_)
{
    server_->connections.insert(this);
    ++server_->openConnections;
    if (server_->options.limits.connectionsPerSource > 0)
        ++server_->connectionsOfSource[source_];
    updateBudget();
}

ServerConnection::~ServerConnection()
{
    uncount();
    server_->connections.erase(this);
    server_->requestsInProgress -= static_cast<int>(queue_.size()) + (isBusy_ ? 1 : 0);
    if (server_->options.budget)
        server_->options.budget->change(server_->options.audience, countedBytes_, 0);
}

void ServerConnection::uncount()
{
    if (!std::exchange(isCounted_, false))
        return;
    --server_->openConnections;
    auto found = server_->connectionsOfSource.find(source_);
    if (found != server_->connectionsOfSource.end() && --found->second == 0)
        server_->connectionsOfSource.erase(found);
}

void ServerConnection::close()
{
    uncount();
    std::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    dropRequests();
}

//! The requests of a closed connection that have not reached the handler never reach it.
void ServerConnection::dropRequests()
{
    server_->requestsInProgress -= static_cast<int>(queue_.size());
    queue_.clear();
    queuedBytes_ = 0;
    parser_.discard();
    endMessage(deadlines_);
    updateBudget();
}

void ServerConnection::closeIfIdle()
{
    if (!isHandlingRequests() && !parser_.isInMessage())
        close();
}

void ServerConnection::closeBecause(CloseReason reason)
{
    server_->noteClosed(reason, queue_.size() + (parser_.isInMessage() ? 1 : 0));
    if (!isBusy_)
        sendRefusal(socket_);
    close();
}

void ServerConnection::read()
{
    if (isReading_ || hasPeerFinished_ || !isOpen())
        return;
    if (queue_.size() >= server_->options.limits.queuedRequests) {
        // The client is not late while the server does not read.
        endMessage(deadlines_);
        isMessageTimeStopped_ = true;
        noteUnread();
        return;
    }
    if (std::exchange(isMessageTimeStopped_, false) && parser_.isInMessage())
        startMessageTime();
    isReading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
        if (error)
            return self->close();
        self->noteUnread();
        if (!self->parser_.isInMessage() && self->server_->pressure() != Pressure::None)
            return self->server_->waiting.push_back(self);
        self->receive();
    });
}

void ServerConnection::noteUnread()
{
    if (!unreadSince_)
        unreadSince_ = bootNow();
}

void ServerConnection::receive()
{
    std::error_code error;
    auto& buffer = server_->readBuffer;
    auto size = socket_.read_some(asio::buffer(buffer), error);
    isReading_ = false;
    if (error == asio::error::would_block) {
        unreadSince_.reset();
        return read();
    }
    hasPeerFinished_ = error == asio::error::eof;
    if (hasPeerFinished_ && isHandlingRequests())
        return;
    if (error)
        return close();
    process({ buffer.data(), size });
}

void ServerConnection::process(std::string_view bytes)
{
    progressAt_ = now();
    bool wasInMessage = parser_.isInMessage();
    auto requestsBefore = queue_.size();
    if (!parser_.feed(bytes))
        return reject();
    unreadSince_.reset();
    if (!parser_.isInMessage())
        endMessage(deadlines_);
    else if (!wasInMessage || queue_.size() != requestsBefore)
        startMessageTime();
    else if (parser_.isInBody() && !isInBody_)
        startBodyTime();
    handleNext();
    read();
    updateBudget();
    server_->relieveCriticalPressure();
}

void ServerConnection::startMessageTime()
{
    startMessage(deadlines_, server_->options.limits, progressAt_);
    isInBody_ = false;
    if (parser_.isInBody())
        startBodyTime();
}

void ServerConnection::startBodyTime()
{
    startBody(deadlines_, server_->options.limits, progressAt_);
    isInBody_ = true;
}

void ServerConnection::enqueue(Request request, bool isKeepAlive)
{
    ++server_->requestsInProgress;
    auto bytes = sizeof(QueuedRequest) + event_http::heldBytes(request);
    queuedBytes_ += bytes;
    queue_.push_back({ std::move(request), isKeepAlive, bytes, *unreadSince_ });
}

void ServerConnection::handleNext()
{
    if (isBusy_ || queue_.empty())
        return;
    auto next = std::move(queue_.front());
    queue_.pop_front();
    queuedBytes_ -= next.bytes;
    isBusy_ = true;
    isKeepAlive_ = next.isKeepAlive;
    next.request.waited = bootNow() - next.unreadSince;
    auto self = shared_from_this();
    auto didRespond = std::make_shared<bool>(false);
    server_->handler(std::move(next.request), [self, didRespond](Response response) {
        if (std::exchange(*didRespond, true))
            return;
        self->send(std::move(response));
    });
}

void ServerConnection::send(Response response)
{
    if (!isOpen())
        return endCurrentRequest();
    bool isLastAnswer = queue_.empty() && (server_->isDraining || hasPeerFinished_);
    bool isKeptOpen = isKeepAlive_ && !isLastAnswer;
    out_ = "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) + "\r\n";
    for (const auto& [name, value] : response.headers)
        out_ += name + ": " + value + "\r\n";
    out_ += "content-length: " + std::to_string(response.body.size()) + "\r\n";
    if (!isKeptOpen)
        out_ += "connection: close\r\n";
    out_ += "\r\n";
    out_ += response.body;
    isWriting_ = true;
    noteProgressOfAnswer();
    updateBudget();
    auto noteWritten = [this, seen = std::size_t(0)](std::error_code error, std::size_t written) mutable {
        constexpr std::size_t maxBytesAtOnce = 65536;
        if (written != seen)
            noteProgressOfAnswer();
        seen = written;
        return error ? 0 : maxBytesAtOnce;
    };
    asio::async_write(socket_, asio::buffer(out_), noteWritten,
        [self = shared_from_this(), isKeptOpen](
            std::error_code error, std::size_t) { self->finishAnswer(error, isKeptOpen); });
}

void ServerConnection::noteProgressOfAnswer()
{
    progressAt_ = now();
    extendAnswer(deadlines_, server_->options.limits, progressAt_);
}

void ServerConnection::finishAnswer(std::error_code error, bool isKeptOpen)
{
    isWriting_ = false;
    endAnswer(deadlines_);
    if (out_.capacity() > maxKeptAnswerBytes)
        out_ = std::string();
    endCurrentRequest();
    idleSince_ = now();
    if (error || (!isKeptOpen && queue_.empty()))
        return close();
    handleNext();
    read();
    updateBudget();
    server_->resumeReading();
}

void ServerConnection::endCurrentRequest()
{
    if (!std::exchange(isBusy_, false))
        return;
    --server_->requestsInProgress;
}

void ServerConnection::reject()
{
    auto reason = closeReasonOf(parser_.failure());
    if (isHandlingRequests())
        return closeBecause(reason);
    server_->noteClosed(reason, 1);
    parser_.discard();
    endMessage(deadlines_);
    isBusy_ = true;
    ++server_->requestsInProgress;
    isKeepAlive_ = false;
    send({ statusBadRequest, {}, {} });
}

std::optional<CloseReason> ServerConnection::exceededLimit(Instant at) const
{
    return event_http::exceededLimit(deadlines_, server_->options.limits, parser_.bodyBytes(), at);
}

HeldMemory ServerConnection::freeableMemory(Instant at) const
{
    bool isTakingAnswer = isWriting_ && at - progressAt_ < answerPause;
    return { parser_.heldBytes() + queuedBytes_ + (isTakingAnswer || !isWriting_ ? 0 : out_.capacity()), progressAt_ };
}

std::size_t ServerConnection::heldBytes() const
{
    // The answer of a closed connection is freed as soon as the event loop has ended its write.
    return sizeof(ServerConnection) + loopBytesPerConnection + parser_.heldBytes() + queuedBytes_
        + (isOpen() ? out_.capacity() : 0);
}

void ServerConnection::updateBudget()
{
    if (!server_->options.budget)
        return;
    auto bytes = heldBytes();
    server_->options.budget->change(server_->options.audience, countedBytes_, bytes);
    countedBytes_ = bytes;
}

void sendRefusal(tcp::socket& socket)
{
    static constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
                                                "content-length: 0\r\nconnection: close\r\n\r\n";
    std::error_code ignored;
    socket.write_some(asio::buffer(refusal), ignored);
}

} // namespace agatevane::event_http
