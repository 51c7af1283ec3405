#include "agatevane/event_http/read_buffer.h"

#include <boost/test/unit_test.hpp>

using agatevane::event_http::ReadBuffer;

// Guards against an owner of a thousand workers that needs more memory than its VM has for buffers that stay empty.
BOOST_AUTO_TEST_CASE(A_buffer_of_short_messages_stays_small)
{
    constexpr std::size_t smallBytes = 2048;
    ReadBuffer buffer;
    for (int read = 0; read < 3; ++read) {
        BOOST_CHECK_LE(buffer.space().size(), smallBytes);
        buffer.take(buffer.space().size() - 1);
    }
}

BOOST_AUTO_TEST_CASE(A_buffer_that_was_filled_grows_and_keeps_its_bytes_until_the_next_read)
{
    ReadBuffer buffer;
    auto first = buffer.space();
    *static_cast<char*>(first.data()) = 'x';
    auto bytes = buffer.take(first.size());
    BOOST_CHECK_EQUAL(bytes.size(), first.size());
    BOOST_CHECK_EQUAL(bytes.front(), 'x');
    BOOST_CHECK_GT(buffer.space().size(), first.size());
}
