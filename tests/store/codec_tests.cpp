#include "agatevane/base/base64.h"
#include "agatevane/store/codec.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane::store;
using Json = nlohmann::json;

namespace {

Json parseJson(const std::string& text)
{
    return Json::parse(text);
}

} // namespace

RC_BOOST_PROP(base64_reads_back_any_bytes, (const std::string& bytes))
{
    RC_ASSERT(agatevane::fromBase64(agatevane::toBase64(bytes)) == bytes);
}

BOOST_AUTO_TEST_CASE(Base64_refuses_malformed_text, *boost::unit_test::label("codec"))
{
    BOOST_TEST(agatevane::toBase64("foo") == "Zm9v");
    BOOST_TEST(agatevane::toBase64("fo") == "Zm8=");
    for (const auto* text : { "Zg", "Zg=", "Z===", "Z g=", "=m9v", "Zm9v=" })
        BOOST_TEST(!agatevane::fromBase64(text).has_value());
}

// The expected texts are examples of the published gateway documentation, not output of this codec.
BOOST_AUTO_TEST_CASE(Requests_have_the_form_of_the_gateway_documentation, *boost::unit_test::label("codec"))
{
    BOOST_TEST(parseJson(encode(PutRequest { "foo", "bar", 0 })) == parseJson(R"({"key":"Zm9v","value":"YmFy"})"));
    BOOST_TEST(parseJson(encode(RangeRequest { .key = "foo", .rangeEnd = prefixEnd("foo") }))
        == parseJson(R"({"key":"Zm9v","range_end":"Zm9w"})"));
    Txn txn { .compares = { createdAt("foo", 2) }, .success = { { PutRequest { "foo", "bar", 0 } } }, .failure = {} };
    BOOST_TEST(
        parseJson(encode(txn)) == parseJson(R"({"compare":[{"create_revision":"2","target":"CREATE","result":"EQUAL",
        "key":"Zm9v"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}],"failure":[]})"));
    BOOST_TEST(parseJson(encode(WatchRequest { .key = "foo", .rangeEnd = "", .startRevision = 7 }))
        == parseJson(R"({"create_request":{"key":"Zm9v","start_revision":"7","progress_notify":true}})"));
}

BOOST_AUTO_TEST_CASE(A_nested_transaction_and_its_answer_keep_their_order, *boost::unit_test::label("codec"))
{
    Txn inner { .compares = { modifiedAt("a", 0) },
        .success = { { PutRequest { "a", "1", 9 } } },
        .failure = { { RangeRequest { .key = "a" } } } };
    auto json = parseJson(encode(Txn { .compares = {}, .success = { { inner }, { DeleteRequest { "b", "" } } } }));
    BOOST_TEST(json["success"][0]["request_txn"]["success"][0]["request_put"]["lease"] == "9");
    BOOST_TEST(json["success"][1].contains("request_delete_range"));

    TxnResult result;
    Revision revision = 0;
    BOOST_REQUIRE(decode(R"({"header":{"revision":"12"},"succeeded":true,"responses":[{"response_txn":{"responses":[
        {"response_range":{"kvs":[{"key":"YQ==","value":"MQ==","mod_revision":"11","create_revision":"4",
        "version":"3"}],"count":"1"}}]}},{"response_delete_range":{"deleted":"2"}}]})",
        result, revision));
    BOOST_TEST(revision == 12);
    BOOST_TEST(result.succeeded);
    const auto& nested = std::get<TxnResult>(result.results.at(0).result);
    BOOST_TEST(!nested.succeeded);
    const auto& range = std::get<RangeResult>(nested.results.at(0).result);
    BOOST_TEST((range.kvs.at(0) == KeyValue { "a", "1", 4, 11, 3, 0 }));
    BOOST_TEST(std::get<DeleteResult>(result.results.at(1).result).deleted == 2);
}

BOOST_AUTO_TEST_CASE(Watch_messages_distinguish_events_compaction_and_errors, *boost::unit_test::label("codec"))
{
    WatchResponse response;
    BOOST_REQUIRE(decode(R"({"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"YQ==","value":"MQ==",
        "mod_revision":"5"}},{"type":"DELETE","kv":{"key":"Yg==","mod_revision":"5"}}]}})",
        response));
    BOOST_REQUIRE(response.events.size() == 2);
    BOOST_TEST((response.events[0].type == EventType::Put));
    BOOST_TEST((response.events[1].type == EventType::Delete));
    BOOST_REQUIRE(decode(R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"8"}})", response));
    BOOST_TEST(response.canceled);
    BOOST_TEST(response.compactRevision == 8);
    BOOST_REQUIRE(decode(R"({"error":{"grpc_code":14,"message":"no leader"}})", response));
    BOOST_TEST(response.canceled);
    BOOST_TEST(response.reason == "no leader");
}

// Guards against a lease that seems alive because a field of the wrong type was read as zero or left out.
BOOST_AUTO_TEST_CASE(Lease_answers_are_read_in_both_forms, *boost::unit_test::label("codec"))
{
    LeaseResult lease;
    Revision revision = 0;
    BOOST_TEST(decode(R"({"header":{"revision":"3"},"ID":"7587","TTL":"10"})", lease, revision));
    BOOST_TEST(lease.id == 7587);
    BOOST_TEST(decode(R"({"result":{"header":{"revision":"3"},"ID":"7587","TTL":"4"}})", lease, revision));
    BOOST_TEST(lease.ttlSeconds == 4);
    BOOST_TEST(!decode(R"({"ID":true,"TTL":"4"})", lease, revision));
    BOOST_TEST(!decode(R"({"ID":"12x"})", lease, revision));
}

RC_BOOST_PROP(decoding_any_text_never_throws, (const std::string& text))
{
    RangeResult range;
    TxnResult txn;
    WatchResponse watch;
    Revision revision = 0;
    RC_ASSERT((!decode(text, range, revision) || !text.empty()));
    RC_ASSERT((!decode(text, txn, revision) || !text.empty()));
    RC_ASSERT((!decode(text, watch) || !text.empty()));
    errorText(text);
}
