#pragma once

#include "agatevane/event_http/message.h"
#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <limits>
#include <string_view>

namespace agatevane::event_http {

//! Size limits of one message; a larger message ends the connection.
struct MessageLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    std::size_t headerFields = std::numeric_limits<std::size_t>::max();
};

//! Why a parser has refused a message.
enum class ParseFailure { None, Malformed, HeaderSize, BodySize };

//! Memory that a request holds, within a factor of two: buffers by capacity, header fields with their overhead.
std::size_t heldBytes(const Request& request);

//! Incremental parser of requests or responses on one connection.
class Parser {
public:
    //! Called for each complete message, with the request or the response according to the parser's type. It must not
    //! destroy the parser.
    using MessageHandler = std::function<void(Request request, Response response, bool isKeepAlive)>;

    Parser(http_parser_type type, const MessageLimits& limits, MessageHandler handler);
    Parser(const Parser&) = delete;
    Parser& operator=(const Parser&) = delete;

    //! False if the bytes are not valid HTTP or exceed the limits.
    bool feed(std::string_view bytes);
    //! Applies to the messages that begin from now on.
    void limitBody(std::size_t bytes) { limits_.bodyBytes = bytes; }
    //! True if a body has exceeded its limit, or its announced length does.
    bool isTooLarge() const { return failure_ == ParseFailure::BodySize; }
    ParseFailure failure() const { return failure_; }
    //! Call this when the peer has closed its side, which completes a response without a length. False if a message was
    //! cut off.
    bool finish();
    //! True if a message has begun and is not complete.
    bool isInMessage() const { return isInMessage_; }
    //! True if the current message's header is complete and its body is not.
    bool isInBody() const { return isInBody_; }
    //! Bytes of the current message's body that have arrived.
    std::size_t bodyBytes() const { return body_.size(); }
    //! Memory that the current message holds; see heldBytes(const Request&).
    std::size_t heldBytes() const;
    //! Frees the memory of the current message. Feed nothing more afterwards.
    void discard();
    //! The length of the current message's body, once its headers have announced it; otherwise 0.
    std::size_t announcedBodyBytes() const { return announcedBodyBytes_; }

private:
    static int onMessageBegin(http_parser* parser);
    static int onUrl(http_parser* parser, const char* data, std::size_t size);
    static int onHeaderName(http_parser* parser, const char* data, std::size_t size);
    static int onHeaderValue(http_parser* parser, const char* data, std::size_t size);
    static int onHeadersComplete(http_parser* parser);
    static int onBody(http_parser* parser, const char* data, std::size_t size);
    static int onMessageComplete(http_parser* parser);
    static const http_parser_settings& settings();
    bool countHeaderBytes(std::size_t size);
    void refuse(ParseFailure failure) { failure_ = failure; }

    http_parser parser_ {};
    MessageLimits limits_;
    MessageHandler handler_;
    bool isInMessage_ = false;
    bool isInBody_ = false;
    bool wasLastPartHeaderName_ = false; //!< otherwise the next part of a header name starts a new header
    std::size_t headerBytes_ = 0;
    std::size_t announcedBodyBytes_ = 0;
    ParseFailure failure_ = ParseFailure::None;
    std::string target_;
    Headers headers_;
    std::string body_;
};

} // namespace agatevane::event_http
