#pragma once

#include "agatevane/event_http/message.h"
#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string_view>

namespace agatevane::event_http {

//! Bounds of one message; a larger one ends the connection.
struct MessageLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

//! Incremental parser of requests or responses on one connection.
class Parser {
public:
    //! `complete` is called for each whole message; it may not destroy the parser.
    using Complete = std::function<void(Request request, Response response, bool keepAlive)>;

    Parser(http_parser_type type, const MessageLimits& limits, Complete complete);
    Parser(const Parser&) = delete;
    Parser& operator=(const Parser&) = delete;

    //! False if the bytes are no HTTP or exceed the limits.
    bool feed(std::string_view bytes);
    //! Tells the parser that the peer has closed its side, which ends a response without a length.
    bool finish();
    //! True if a message has begun and is not complete.
    bool isInMessage() const { return inMessage_; }

private:
    static int onBegin(http_parser* parser);
    static int onUrl(http_parser* parser, const char* data, std::size_t size);
    static int onField(http_parser* parser, const char* data, std::size_t size);
    static int onValue(http_parser* parser, const char* data, std::size_t size);
    static int onBody(http_parser* parser, const char* data, std::size_t size);
    static int onComplete(http_parser* parser);
    static const http_parser_settings& settings();
    bool countHeaderBytes(std::size_t size);

    http_parser parser_ {};
    MessageLimits limits_;
    Complete complete_;
    bool inMessage_ = false;
    bool lastWasField_ = false;
    std::size_t headerBytes_ = 0;
    std::string target_;
    Headers headers_;
    std::string body_;
};

} // namespace agatevane::event_http
