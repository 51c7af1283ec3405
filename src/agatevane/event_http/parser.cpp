#include "agatevane/event_http/parser.h"

#include <algorithm>
#include <cctype>

namespace agatevane::event_http {

std::string_view headerOf(const Headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

namespace {

    constexpr std::size_t fieldBytes = sizeof(Headers::value_type);

    //! A string keeps short text in itself; a growing string has at most twice the capacity that it needs.
    std::size_t heldBytesOf(const std::string& text)
    {
        return text.capacity() < sizeof(std::string) ? 0 : text.capacity();
    }

} // namespace

std::size_t heldBytes(const Request& request)
{
    auto bytes = heldBytesOf(request.target) + heldBytesOf(request.body) + request.headers.capacity() * fieldBytes;
    for (const auto& [name, value] : request.headers)
        bytes += heldBytesOf(name) + heldBytesOf(value);
    return bytes;
}

Parser::Parser(http_parser_type type, const MessageLimits& limits, MessageHandler handler)
    : limits_(limits)
    , handler_(std::move(handler))
{
    http_parser_init(&parser_, type);
    parser_.data = this;
}

bool Parser::feed(std::string_view bytes)
{
    auto parsed = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
    auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_OK && parsed == bytes.size())
        return true;
    if (failure_ == ParseFailure::None)
        failure_ = error == HPE_HEADER_OVERFLOW ? ParseFailure::HeaderSize : ParseFailure::Malformed;
    return false;
}

bool Parser::finish()
{
    http_parser_execute(&parser_, &settings(), nullptr, 0);
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
}

const http_parser_settings& Parser::settings()
{
    static const http_parser_settings table = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = onMessageBegin;
        callbacks.on_url = onUrl;
        callbacks.on_header_field = onHeaderName;
        callbacks.on_header_value = onHeaderValue;
        callbacks.on_headers_complete = onHeadersComplete;
        callbacks.on_body = onBody;
        callbacks.on_message_complete = onMessageComplete;
        return callbacks;
    }();
    return table;
}

bool Parser::countHeaderBytes(std::size_t size)
{
    headerBytes_ += size;
    if (headerBytes_ > limits_.headerBytes)
        refuse(ParseFailure::HeaderSize);
    return headerBytes_ <= limits_.headerBytes;
}

std::size_t Parser::heldBytes() const
{
    // The capacity of growing strings is at most twice their size; counting each one would cost time at each read.
    return 2 * headerBytes_ + headers_.capacity() * fieldBytes + heldBytesOf(body_);
}

void Parser::discard()
{
    isInMessage_ = false;
    isInBody_ = false;
    headerBytes_ = 0;
    // Assigning an empty value would keep the memory.
    std::string().swap(target_);
    Headers().swap(headers_);
    std::string().swap(body_);
}

int Parser::onMessageBegin(http_parser* parser)
{
    auto& self = *static_cast<Parser*>(parser->data);
    self.isInMessage_ = true;
    self.isInBody_ = false;
    self.wasLastPartHeaderName_ = false;
    self.headerBytes_ = 0;
    self.announcedBodyBytes_ = 0;
    self.target_.clear();
    self.headers_.clear();
    self.body_.clear();
    return 0;
}

int Parser::onUrl(http_parser* parser, const char* data, std::size_t size)
{
    auto& self = *static_cast<Parser*>(parser->data);
    self.target_.append(data, size);
    return self.countHeaderBytes(size) ? 0 : 1;
}

int Parser::onHeaderName(http_parser* parser, const char* data, std::size_t size)
{
    auto& self = *static_cast<Parser*>(parser->data);
    if (!self.wasLastPartHeaderName_) {
        if (self.headers_.size() >= self.limits_.headerFields) {
            self.refuse(ParseFailure::HeaderSize);
            return 1;
        }
        self.headers_.emplace_back();
    }
    self.wasLastPartHeaderName_ = true;
    std::transform(data, data + size, std::back_inserter(self.headers_.back().first),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return self.countHeaderBytes(size) ? 0 : 1;
}

int Parser::onHeaderValue(http_parser* parser, const char* data, std::size_t size)
{
    auto& self = *static_cast<Parser*>(parser->data);
    self.wasLastPartHeaderName_ = false;
    self.headers_.back().second.append(data, size);
    return self.countHeaderBytes(size) ? 0 : 1;
}

int Parser::onHeadersComplete(http_parser* parser)
{
    // The parser sets all bits if the message does not say its length.
    constexpr auto unknownLength = static_cast<std::uint64_t>(-1);
    // Any other result than 0 to 2 is an error.
    constexpr int failure = -1;
    auto& self = *static_cast<Parser*>(parser->data);
    self.isInBody_ = true;
    if (parser->content_length == unknownLength)
        return 0;
    self.announcedBodyBytes_ = parser->content_length;
    if (self.announcedBodyBytes_ > self.limits_.bodyBytes) {
        self.refuse(ParseFailure::BodySize);
        return failure;
    }
    if (parser->type == HTTP_RESPONSE)
        self.body_.reserve(self.announcedBodyBytes_);
    return 0;
}

int Parser::onBody(http_parser* parser, const char* data, std::size_t size)
{
    auto& self = *static_cast<Parser*>(parser->data);
    if (self.body_.size() + size > self.limits_.bodyBytes) {
        self.refuse(ParseFailure::BodySize);
        return 1;
    }
    self.body_.append(data, size);
    return 0;
}

int Parser::onMessageComplete(http_parser* parser)
{
    auto& self = *static_cast<Parser*>(parser->data);
    self.isInMessage_ = false;
    self.isInBody_ = false;
    self.headerBytes_ = 0;
    bool isKeepAlive = http_should_keep_alive(parser) != 0;
    if (parser->type == HTTP_REQUEST) {
        Request request { http_method_str(static_cast<http_method>(parser->method)), std::move(self.target_),
            std::move(self.headers_), std::move(self.body_) };
        self.handler_(std::move(request), {}, isKeepAlive);
    } else {
        Response response { static_cast<int>(parser->status_code), std::move(self.headers_), std::move(self.body_) };
        self.handler_({}, std::move(response), isKeepAlive);
    }
    return 0;
}

} // namespace agatevane::event_http
