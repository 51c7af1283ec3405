#include "agatevane/base/error.h"
#include "agatevane/event_http/client.h"
#include "agatevane/event_http/server.h"
#include "platform/store_client.h"
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using event_http::Request;
using event_http::Respond;

namespace {

constexpr const char* firstPage = R"({"asOf":7,"hasMore":true,"items":[{"key":"p/1","revision":3,"value":"YQ=="}]})";
constexpr const char* lastPage = R"({"asOf":9,"hasMore":false,"items":[{"key":"p/2","revision":4,"value":"Yg=="}]})";
constexpr int statusUnavailable = 503;

//! A store whose second page fails a number of times.
struct ListingFixture {
    explicit ListingFixture(int failures)
        : failuresLeft(failures)
    {
        BOOST_REQUIRE(!server.listen("127.0.0.1", 0));
        platform::StoreClient store(client, { "127.0.0.1", server.port() });
        bool isDone = false;
        store.list("p/", { now() + Millis(1000), {} }, [&](const kv::ReadResult& listed) {
            result = listed;
            isDone = true;
            context.stop();
        });
        context.run_for(Millis(3000));
        BOOST_REQUIRE(isDone);
    }

    void answer(const Request& request, const Respond& respond)
    {
        if (request.target.find("after=") == std::string::npos) {
            ++firstPages;
            return respond({ 200, {}, firstPage });
        }
        if (failuresLeft-- > 0)
            return respond({ statusUnavailable, {}, {} });
        respond({ 200, {}, lastPage });
    }

    asio::io_context context;
    event_http::Server server { context,
        [this](const Request& request, const Respond& respond) { answer(request, respond); } };
    event_http::Client client { context };
    int failuresLeft;
    int firstPages = 0;
    kv::ReadResult result;
};

} // namespace

// Guards against a listing that begins anew for one page that failed.
BOOST_AUTO_TEST_CASE(A_page_that_fails_is_read_again_by_itself, *boost::unit_test::label("platform"))
{
    ListingFixture listing(2);
    BOOST_CHECK(!listing.result.error);
    BOOST_CHECK_EQUAL(listing.result.items.size(), 2U);
    BOOST_CHECK_EQUAL(listing.result.asOf, 7);
    BOOST_CHECK_EQUAL(listing.firstPages, 1);
}

BOOST_AUTO_TEST_CASE(A_listing_ends_once_a_page_fails_repeatedly, *boost::unit_test::label("platform"))
{
    ListingFixture listing(10);
    BOOST_CHECK(listing.result.error == Errc::Refused);
    BOOST_CHECK_EQUAL(listing.firstPages, 1);
}
