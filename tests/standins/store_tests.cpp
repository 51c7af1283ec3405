#include "standins/store/memory_store.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::standin;

// Guards against reading an operation of a transaction through an invalid iterator, which crashed the store's process
// with a memory access violation. The address sanitizer (scripts/sanitize) detects it.
BOOST_AUTO_TEST_CASE(A_transaction_answers_each_of_its_operations)
{
    MemoryStore store;
    auto txn = Json::parse(R"({"success":[
        {"request_put":{"key":"YQ==","value":"MQ=="}},
        {"request_range":{"key":"YQ=="}},
        {"request_txn":{"success":[{"request_delete_range":{"key":"YQ=="}}]}}]})");
    auto answer = store.txn(txn);
    BOOST_TEST(answer.value("succeeded", false));
    BOOST_REQUIRE(answer["responses"].size() == 3U);
    BOOST_TEST(answer["responses"][0].contains("response_put"));
    BOOST_TEST(answer["responses"][1]["response_range"]["kvs"].size() == 1U);
    BOOST_TEST(answer["responses"][2]["response_txn"]["responses"].size() == 1U);
    BOOST_TEST(store.keyCount() == 0U);
}
