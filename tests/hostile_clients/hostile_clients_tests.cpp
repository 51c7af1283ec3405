//! Each test guards against a node that ends, exceeds its machine's limits or no longer accepts jobs because of one
//! kind of client. The tests check nothing that depends on the machine's speed.
#include "crowd.h"
#include "tests/platform_system/deployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

using namespace agatevane;
using test::Behaviour;
using test::Crowd;
using test::PlatformDeployment;
using test::Reading;

namespace {

//! The limits of the machine in the node's settings file, which are also the bounds of these tests.
constexpr int memoryMiB = 96;
constexpr int fileDescriptors = 400;

//! Together the messages of such a crowd take more than `memoryMiB` if the node holds them all.
constexpr std::size_t sendingClients = 160;
//! More connections than `fileDescriptors`.
constexpr std::size_t connectedClients = 600;
//! Each can make a node queue 16 requests of `pipelinedBodyBytes` each.
constexpr std::size_t pipeliningClients = 40;
constexpr std::size_t pipelinedBodyBytes = 250'000;

//! A legal size: the callers' address accepts bodies of at least 1 MiB.
constexpr std::size_t bodyBytes = 1'000'000;
constexpr std::size_t excessiveBytes = 64'000'000;

constexpr Millis actingTime { 10000 };
constexpr Millis watchInterval { 20 };
constexpr Millis answerTime { 30000 };

const std::string jobId = "00000000000000a1";

enum class Target { Queue, NoQueue, Readiness };

std::ostream& operator<<(std::ostream& stream, Target target)
{
    static constexpr std::array names { "a path of a queue", "a path without a queue", "the readiness address" };
    return stream << names.at(static_cast<std::size_t>(target));
}

const std::array allTargets { Target::Queue, Target::NoQueue, Target::Readiness };

std::string pathOf(Target target)
{
    static const std::array<std::string, 3> paths { "/jobs/00000000000000ff", "/none/00000000000000ff",
        PlatformDeployment::readinessPath };
    return paths.at(static_cast<std::size_t>(target));
}

std::string headOf(const std::string& method, Target target)
{
    return method + " " + pathOf(target) + " HTTP/1.1\r\nhost: 127.0.0.1\r\n";
}

std::string postOf(Target target, std::size_t announcedBytes, std::size_t sentBytes)
{
    return headOf("POST", target) + "content-length: " + std::to_string(announcedBytes) + "\r\n\r\n"
        + std::string(sentBytes, 'x');
}

std::string chunkOf(std::size_t bytes)
{
    std::ostringstream size;
    size << std::hex << bytes;
    return size.str() + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

std::string repeat(const std::string& text, std::size_t times)
{
    std::string all;
    for (std::size_t count = 0; count < times; ++count)
        all += text;
    return all;
}

Behaviour chunkedBody(Target target, std::size_t bytes)
{
    constexpr std::size_t chunkBytes = 1000;
    Behaviour behaviour;
    behaviour.opening = headOf("POST", target) + "transfer-encoding: chunked\r\n\r\n";
    behaviour.repeated = chunkOf(chunkBytes);
    behaviour.repetitions = bytes / chunkBytes;
    return behaviour;
}

//! The most that a process has held.
struct Usage {
    std::size_t descriptors = 0;
    std::size_t residentKiB = 0;
};

void note(Usage& usage, pid_t process)
{
    auto folder = std::filesystem::path("/proc") / std::to_string(process);
    std::error_code ignored;
    std::size_t descriptors = 0;
    for (auto entry = std::filesystem::directory_iterator(folder / "fd", ignored);
         entry != std::filesystem::directory_iterator(); entry.increment(ignored))
        ++descriptors;
    usage.descriptors = std::max(usage.descriptors, descriptors);
    std::ifstream status(folder / "status");
    const std::string peak = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(peak))
            usage.residentKiB = std::stoul(line.substr(peak.size()));
    }
}

struct Fixture {
    Fixture()
        : deployment({ .nodes = 1, .workers = 2, .memoryMiB = memoryMiB, .fileDescriptors = fileDescriptors })
    {
    }

    bool await(Millis limit, const std::function<bool()>& condition)
    {
        return deployment.await(limit, [&] {
            note(usage, deployment.node(0).pid());
            return condition();
        });
    }

    void checkNodeDuring(Target target, std::size_t clients, std::vector<Behaviour> behaviours)
    {
        auto port = target == Target::Readiness ? deployment.readinessPort(0) : deployment.advertisedCallersPort(0);
        {
            Crowd crowd({ "127.0.0.1", port }, clients, std::move(behaviours));
            await(actingTime, [&] { return crowd.hasActed(); });
            // A refused submission may be sent again, as callers do.
            BOOST_CHECK_MESSAGE(await(answerTime, [&] { return deployment.submit(0, jobId, 100) == 200; }),
                "a job is not accepted during the flood");
            BOOST_CHECK_MESSAGE(await(answerTime, [&] { return deployment.stateOf(0, jobId) == "completed"; }),
                "a job does not run during the flood");
        }
        BOOST_CHECK_MESSAGE(await(answerTime, [&] { return deployment.stateOf(0, jobId) == "completed"; }),
            "an ordinary request is not answered after the flood");
        BOOST_CHECK(deployment.node(0).isRunning());
        BOOST_CHECK_LE(usage.descriptors, static_cast<std::size_t>(fileDescriptors));
        BOOST_CHECK_LE(usage.residentKiB, static_cast<std::size_t>(memoryMiB) * 1024);
        BOOST_TEST_MESSAGE(
            target << ": at most " << usage.residentKiB << " KiB and " << usage.descriptors << " descriptors");
    }

    PlatformDeployment deployment;
    Usage usage;
};

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_clients, *boost::unit_test::label("hostile_clients"))

BOOST_DATA_TEST_CASE_F(Fixture, Bodies_in_one_piece_that_stop_before_their_end, allTargets, target)
{
    Behaviour behaviour;
    behaviour.opening = postOf(target, bodyBytes, bodyBytes - 1);
    behaviour.pieceBytes = bodyBytes * 2;
    checkNodeDuring(target, sendingClients, { behaviour });
}

BOOST_DATA_TEST_CASE_F(Fixture, Bodies_in_small_pieces_that_stop_before_their_end, allTargets, target)
{
    constexpr std::size_t pieceBytes = 4096;
    Behaviour behaviour;
    behaviour.opening = postOf(target, bodyBytes, bodyBytes - 1);
    behaviour.pieceBytes = pieceBytes;
    checkNodeDuring(target, sendingClients, { behaviour });
}

BOOST_DATA_TEST_CASE_F(Fixture, Bodies_in_chunks_that_stop_before_their_end, allTargets, target)
{
    checkNodeDuring(target, sendingClients, { chunkedBody(target, bodyBytes) });
}

BOOST_DATA_TEST_CASE_F(Fixture, Bodies_far_over_the_limit, allTargets, target)
{
    Behaviour announced;
    announced.opening = postOf(target, excessiveBytes, 0);
    announced.repeated = std::string(1000, 'x');
    announced.repetitions = excessiveBytes / announced.repeated.size();
    checkNodeDuring(target, sendingClients, { announced, chunkedBody(target, excessiveBytes) });
}

BOOST_DATA_TEST_CASE_F(Fixture, Many_short_header_fields, allTargets, target)
{
    constexpr std::size_t fields = 16000; // their names take less than the limit of 16 KiB on a header
    Behaviour behaviour;
    behaviour.opening = headOf("GET", target) + repeat("a:\r\n", fields);
    checkNodeDuring(target, sendingClients, { behaviour });
}

BOOST_DATA_TEST_CASE_F(Fixture, Pipelined_requests_without_reading_the_answers, allTargets, target)
{
    // The node reads bodies only while it can write answers, so few enough requests without a body come first that the
    // socket buffers still take their answers: 45 KB, with the small buffers of the client.
    constexpr std::size_t answerBytes = 30'000;
    static constexpr std::array<std::size_t, 3> bytesOfAnswer { 200, 300, 28 };
    Behaviour behaviour;
    behaviour.opening
        = repeat(headOf("GET", target) + "\r\n", answerBytes / bytesOfAnswer.at(static_cast<std::size_t>(target)));
    behaviour.repeated = postOf(target, pipelinedBodyBytes, pipelinedBodyBytes);
    behaviour.repetitions = 10'000;
    behaviour.reading = Reading::Never;
    checkNodeDuring(target, pipeliningClients, { behaviour });
}

BOOST_DATA_TEST_CASE_F(Fixture, Idle_connections_and_requests_that_stop_halfway, allTargets, target)
{
    Behaviour halfway;
    halfway.opening = headOf("GET", target);
    checkNodeDuring(target, connectedClients, { Behaviour(), halfway });
}

BOOST_DATA_TEST_CASE_F(Fixture, Requests_that_are_sent_very_slowly, allTargets, target)
{
    Behaviour behaviour;
    behaviour.opening = headOf("GET", target);
    behaviour.repeated = "a: b\r\n";
    behaviour.repetitions = 1000;
    behaviour.pieceBytes = 1;
    behaviour.pause = Millis(200);
    checkNodeDuring(target, connectedClients, { behaviour });
}

BOOST_DATA_TEST_CASE_F(Fixture, Answers_that_are_read_very_slowly, allTargets, target)
{
    Behaviour behaviour;
    behaviour.opening = headOf("GET", target) + "\r\n";
    behaviour.reading = Reading::Slow;
    checkNodeDuring(target, connectedClients, { behaviour });
}

// Guards against limits that refuse a client that stays inside them.
BOOST_FIXTURE_TEST_CASE(A_single_request_of_legal_size_is_served, Fixture)
{
    auto steps = nlohmann::json::array();
    for (int step = 0; step < 200; ++step)
        steps.push_back({ { "count", 1 }, { "cpu", 100 }, { "estimatedMs", 10 } });
    nlohmann::json job { { "specification", "ms=10" + std::string(3995, ' ') }, { "steps", steps } };
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", jobId, job), 200);
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", jobId, std::string(bodyBytes, 'x')), 400);
}

BOOST_AUTO_TEST_SUITE_END()
