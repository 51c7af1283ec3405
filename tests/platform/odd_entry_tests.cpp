//! Items and answers that another writer may have left: none of them ends the program or yields a value that later
//! arithmetic can't bear.
#include "platform/store_items.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace agatevane;
using namespace agatevane::platform;

namespace {

using nlohmann::json;

kv::Item makeItem(const std::string& key, const std::string& value)
{
    return { key, value, 7, 0 };
}

//! An entry as a worker writes it.
json workerEntry()
{
    return { { "service", "huvo11a" }, { "address", "10.128.0.9:8080" }, { "zone", "harju-a" }, { "version", "v1" },
        { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", 16000 }, { "taskMemoryMb", 32768 }, { "gpu", 0 } } }, { "labels", { "a", "r1-3" } },
        { "clockMs", 482113 }, { "sequence", 4 } };
}

void checkEntryIgnored(const std::string& key, const std::string& text)
{
    Findings findings;
    auto listing = decodeListing(makeItem(key, text), findings);
    auto shown = key.substr(0, 60) + " " + text.substr(0, 300);
    BOOST_CHECK_MESSAGE(!listing, shown << " was taken for a worker");
    BOOST_CHECK_MESSAGE(!findings.empty(), shown << " left no finding");
}

void checkEntryIgnored(const json& entry)
{
    checkEntryIgnored("servers/i-1", entry.dump());
}

//! Replaces the text of the number that `workerEntry` has for `cpu`.
std::string entryWithCpu(const std::string& number)
{
    auto text = workerEntry().dump();
    return text.replace(text.find("16000"), 5, number);
}

} // namespace

// Guards against limits that refuse what workers do write.
BOOST_AUTO_TEST_CASE(Entries_as_workers_write_them_are_usable, *boost::unit_test::label("platform"))
{
    auto entry = workerEntry();
    auto isUsable = [&entry](const std::string& key = "servers/i-7f3a91c2") {
        Findings findings;
        auto listing = decodeListing(makeItem(key, entry.dump()), findings);
        BOOST_CHECK_MESSAGE(listing, format(findings));
        return listing.has_value();
    };
    BOOST_CHECK(isUsable());
    BOOST_CHECK(isUsable("servers/worker_1.A:2"));
    entry["born"] = 1700000000000;
    entry["remainingMs"] = 2500;
    entry["state"] = "draining";
    BOOST_CHECK(isUsable());
    entry["address"] = "10.128.0.9:65535";
    entry["unnamed"] = json::array({ json::object(), nullptr });
    BOOST_CHECK(isUsable());
    entry["address"] = "[fd00::9]:8080";
    BOOST_CHECK(isUsable());
    // Unused fields may be of any type.
    entry["version"] = 5;
    entry["sequence"] = "x";
    BOOST_CHECK(isUsable());
}

// Guards against a listed worker that no order can reach.
BOOST_AUTO_TEST_CASE(
    An_entry_whose_address_is_not_an_ip_address_and_port_names_no_worker, *boost::unit_test::label("platform"))
{
    for (const char* address : { "", ":", ":80", "nowhere", "nowhere:80", "10.128.0.9", "10.128.0.9:", "10.128.0.9:0",
             "10.128.0.9:99999", "10.128.0.9:-5", "10.128.0.9:+80", "10.128.0.9:4294967376", "10.128.0.9:80 ",
             "10.128.0:80", "10.128.0.999:80", "fd00::9:80", "10.128.0.9:8080\r\nx: y", "0.0.0.0:80", "[::]:80",
             "224.0.0.1:80", "255.255.255.255:80" }) {
        auto entry = workerEntry();
        entry["address"] = address;
        checkEntryIgnored(entry);
    }
    auto entry = workerEntry();
    entry["address"] = std::string(100000, '1') + ":80";
    checkEntryIgnored(entry);
    entry["address"] = 80;
    checkEntryIgnored(entry);
}

// Guards against sums over all workers that overflow, and against a capacity that turns negative or 0.
BOOST_AUTO_TEST_CASE(
    An_entry_with_a_capacity_out_of_range_or_of_another_type_names_no_worker, *boost::unit_test::label("platform"))
{
    for (const char* number :
        { "18446744073709551615", "9223372036854775808", "9223372036854775807", "1073741825", "-1", "1e3", "0.5",
            "\"64000\"", "null", "true", "[8]", "{}", "1e400", "-1e400", "99999999999999999999999999" })
        checkEntryIgnored("servers/i-1", entryWithCpu(number));
    for (const char* name : { "cpu", "taskMemoryMb", "gpu" }) {
        auto entry = workerEntry();
        entry["capacity"][name] = std::numeric_limits<std::int64_t>::max();
        checkEntryIgnored(entry);
        entry["capacity"][name] = -1;
        checkEntryIgnored(entry);
        entry["capacity"].erase(name);
        checkEntryIgnored(entry);
    }
    for (const json& capacity : { json(nullptr), json(8), json::array({ 1, 2, 3 }), json("8") }) {
        auto entry = workerEntry();
        entry["capacity"] = capacity;
        checkEntryIgnored(entry);
    }
}

// Guards against a start in the far future, against which each later incarnation of the worker counts as an old one.
BOOST_AUTO_TEST_CASE(An_entry_of_a_worker_that_is_not_born_yet_names_no_worker, *boost::unit_test::label("platform"))
{
    constexpr std::int64_t year3000Ms = 32503680000000;
    for (const json& born :
        { json(std::numeric_limits<std::int64_t>::max()), json(std::numeric_limits<std::uint64_t>::max()),
            json(year3000Ms), json(-1), json(std::numeric_limits<std::int64_t>::min()), json(1700000000000.5),
            json(1.7e12), json("1700000000000"), json(nullptr) }) {
        auto entry = workerEntry();
        entry["born"] = born;
        checkEntryIgnored(entry);
    }
}

// Guards against an id that changes the meaning of the request that it is put into, and against one that is empty.
BOOST_AUTO_TEST_CASE(An_entry_whose_key_holds_no_plain_id_names_no_worker, *boost::unit_test::label("platform"))
{
    for (const std::string& key : { std::string("servers/"), std::string("servers/a/b"), std::string("servers//"),
             std::string("servers/a b"), std::string("servers/a\r\nX-Other: 1"), std::string("servers/a\0b", 11),
             std::string("servers/\xff\xfe"), "servers/" + std::string(1000, 'a') })
        checkEntryIgnored(key, workerEntry().dump());
}

// Guards against entries so large that the record of all known workers exceeds what the store accepts.
BOOST_AUTO_TEST_CASE(An_entry_with_huge_texts_names_no_worker, *boost::unit_test::label("platform"))
{
    std::string huge(60000, 'x');
    for (const char* name : { "service", "zone", "state" }) {
        auto entry = workerEntry();
        entry[name] = huge;
        checkEntryIgnored(entry);
    }
    auto entry = workerEntry();
    entry["labels"] = json::array({ "a", huge });
    checkEntryIgnored(entry);
    entry["labels"] = std::vector<std::string>(5000, "a");
    checkEntryIgnored(entry);
    for (const json& labels : { json("a"), json(5), json::object(), json::array({ "a", 5 }),
             json::array({ "a", nullptr }), json::array({ json::array(), "r1" }) }) {
        entry["labels"] = labels;
        checkEntryIgnored(entry);
    }
}

BOOST_AUTO_TEST_CASE(An_entry_that_lacks_a_used_field_names_no_worker, *boost::unit_test::label("platform"))
{
    for (const char* name : { "service", "address", "state", "capacity" }) {
        auto entry = workerEntry();
        entry.erase(name);
        checkEntryIgnored(entry);
        for (const json& other : { json(nullptr), json(5), json(true), json::array(), json::object(), json("") }) {
            entry[name] = other;
            checkEntryIgnored(entry);
        }
    }
}

// Guards against a stack that is exhausted by nesting, and against bytes that are not text.
BOOST_AUTO_TEST_CASE(Nested_and_unreadable_values_are_ignored_with_findings, *boost::unit_test::label("platform"))
{
    constexpr std::size_t levels = 1000000;
    auto entry = workerEntry().dump();
    auto withMember
        = [&entry](const std::string& value) { return entry.substr(0, entry.size() - 1) + ",\"x\":" + value + "}"; };
    std::string objects;
    for (std::size_t level = 0; level < levels; ++level)
        objects += "{\"a\":";
    for (const auto& text :
        { withMember(std::string(levels, '[') + std::string(levels, ']')), std::string(levels, '['), objects,
            withMember("\"\xff\xfe\""), withMember("1e400"), withMember("\"\xed\xa0\x80\""), std::string("\0\0\0", 3),
            std::string(levels, '\0'), std::string("\xef\xbb\xbf"), entry + "x", entry.substr(0, entry.size() / 2) }) {
        checkEntryIgnored("servers/i-1", text);
        Findings findings;
        BOOST_CHECK(!decodeDesiredState(makeItem("op/config", text), findings));
        BOOST_CHECK(!decodeWave(makeItem("op/wave/1", text), findings));
    }
}

// Guards against a request to evacuate that is ignored for its value, against one that names nothing, and against a
// large value that is parsed on the owner's event loop.
BOOST_AUTO_TEST_CASE(Only_the_key_of_a_request_to_evacuate_counts, *boost::unit_test::label("platform"))
{
    struct Case {
        std::string name;
        std::string value;
        bool isRequest;
        bool hasFinding;
    };
    for (const auto& each : std::vector<Case> { { "harju-a", "{}", true, false },
             { "harju-a", R"({"by":"ops"})", true, false }, { "harju-a", "", true, true },
             { "harju-a", "{", true, true }, { "harju-a", "[]", true, true }, { "harju-a", "\xff", true, true },
             { "harju-a", std::string(1 << 20, '{'), true, true }, { "harju/a", "{}", true, false },
             { std::string(129, 'z'), "{}", false, true }, { "", "{}", false, true } }) {
        Findings findings;
        auto zone = decodeEvacuation(makeItem("op/evacuate/" + each.name, each.value), findings);
        BOOST_CHECK_EQUAL(zone.value_or(""), each.isRequest ? each.name : "");
        BOOST_CHECK_EQUAL(!findings.empty(), each.hasFinding);
    }
}

// Guards against a worker that can't be used, or is cold for ever, because of a value that only advises placement.
BOOST_AUTO_TEST_CASE(The_time_for_which_a_worker_is_cold_is_read_leniently, *boost::unit_test::label("platform"))
{
    constexpr std::int64_t weekMs = 7LL * 24 * 3600 * 1000;
    for (const auto& [value, expectedMs] : std::vector<std::pair<json, std::int64_t>> { { 0, 0 }, { 2500, 2500 },
             { -5, 0 }, { "2500", 0 }, { nullptr, 0 }, { 9e300, 0 }, { weekMs * 1000, weekMs } }) {
        auto entry = workerEntry();
        entry["coldRemainingMs"] = value;
        Findings findings;
        auto listing = decodeListing(makeItem("servers/i-1", entry.dump()), findings);
        BOOST_REQUIRE_MESSAGE(listing, format(findings));
        BOOST_CHECK_EQUAL(listing->coldFor.count(), expectedMs);
    }
}
