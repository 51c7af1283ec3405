//! Seeded fuzz of the parser of requests: random bytes, and valid messages cut at each position and altered.
#include "agatevane/base/random.h"
#include "agatevane/event_http/parser.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::event_http;

namespace {

constexpr std::uint64_t seed = 20261207;
constexpr MessageLimits limits { 300, 200, 8 };

const std::vector<std::string> validMessages {
    "GET /jobs/00000000000000a1?x=1 HTTP/1.1\r\nHost: a.example\r\nX-Key: k\r\n\r\n",
    "POST /jobs/00000000000000a1 HTTP/1.1\r\nhost: a\r\nContent-Length: 11\r\n\r\n{\"steps\":1}",
    "POST /x HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;e=1\r\n world\r\n0\r\nt: "
    "1\r\n\r\n",
    "DELETE /jobs/00000000000000a1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
    "GET /a HTTP/1.1\r\na:\r\nb:\r\nc:\r\n\r\nGET /b HTTP/1.0\r\n\r\n",
};

struct Parsing {
    bool isValid = true;
    std::vector<Request> requests;
};

//! Feeds the bytes in two parts and checks what holds for any bytes.
Parsing parse(const std::string& bytes, std::size_t firstPart)
{
    Parsing parsing;
    Parser parser(HTTP_REQUEST, limits,
        [&](Request request, const Response&, bool) { parsing.requests.push_back(std::move(request)); });
    for (auto part : { bytes.substr(0, firstPart), bytes.substr(firstPart) }) {
        parsing.isValid = parsing.isValid && parser.feed(part);
        // A field takes at least one byte and up to 64 bytes of its own, twice that in a growing vector.
        BOOST_REQUIRE_LE(parser.heldBytes(), 2 * limits.headerBytes + 2 * limits.bodyBytes + 16 * 128 + 64);
    }
    BOOST_REQUIRE_EQUAL(parsing.isValid, parser.failure() == ParseFailure::None);
    for (const auto& request : parsing.requests) {
        BOOST_REQUIRE_LE(request.headers.size(), limits.headerFields);
        BOOST_REQUIRE_LE(request.body.size(), limits.bodyBytes);
    }
    parser.discard();
    BOOST_REQUIRE_EQUAL(parser.heldBytes(), 0U);
    return parsing;
}

std::string randomBytes(Random& random, std::int64_t maxSize)
{
    constexpr std::int64_t maxByte = 255;
    std::string bytes(static_cast<std::size_t>(uniform(random, 0, maxSize)), '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(uniform(random, 0, maxByte));
    return bytes;
}

std::size_t positionIn(Random& random, const std::string& bytes)
{
    return static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(bytes.size())));
}

} // namespace

BOOST_AUTO_TEST_SUITE(parser_fuzz, *boost::unit_test::label("event_http"))

// Guards against bytes that make the parser fail, hold more than its limits or hand on a message beyond them.
BOOST_AUTO_TEST_CASE(Random_bytes_are_parsed_or_refused)
{
    Random random(seed);
    for (int round = 0; round < 20000; ++round) {
        auto bytes = randomBytes(random, 600);
        if (round % 2 == 0)
            bytes.insert(0, "POST /x HTTP/1.1\r\n");
        parse(bytes, positionIn(random, bytes));
    }
}

// Guards against a request that is read differently, or handed on too early, depending on how it arrives.
BOOST_AUTO_TEST_CASE(A_valid_message_is_read_the_same_however_it_is_cut)
{
    for (const auto& message : validMessages) {
        auto whole = parse(message, 0);
        BOOST_REQUIRE(whole.isValid && !whole.requests.empty());
        for (std::size_t position = 0; position < message.size(); ++position) {
            auto cut = parse(message, position);
            BOOST_REQUIRE_EQUAL(cut.requests.size(), whole.requests.size());
            BOOST_CHECK_EQUAL(cut.requests.back().body, whole.requests.back().body);
            BOOST_CHECK_LT(parse(message.substr(0, position), position / 2).requests.size(), whole.requests.size());
        }
    }
}

// Guards against the same failures as random bytes, which rarely get past the first line.
BOOST_AUTO_TEST_CASE(Altered_messages_are_parsed_or_refused)
{
    Random random(seed);
    for (int round = 0; round < 50000; ++round) {
        auto message = validMessages[positionIn(random, std::string(validMessages.size() - 1, ' '))];
        for (auto changes = uniform(random, 1, 4); changes > 0; --changes) {
            auto position = positionIn(random, message);
            auto length = static_cast<std::size_t>(uniform(random, 0, 8));
            if (uniform(random, 0, 1) == 0)
                message.replace(position, length, randomBytes(random, 8));
            else
                message.insert(position, message.substr(positionIn(random, message), length * length));
        }
        parse(message, positionIn(random, message));
    }
}

BOOST_AUTO_TEST_SUITE_END()
