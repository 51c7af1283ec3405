#include "agatevane/idempotency/claim.h"

#include "agatevane/base/hash.h"
#include "agatevane/json/reader.h"

namespace agatevane {

namespace {

    // Two 64-bit hashes with different seeds give 128 bits, so that collisions are negligible even in a large
    // workspace.
    constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15;

    std::string digest128(std::string_view text)
    {
        return toHex(hash64(text)) + toHex(hash64(text, secondSeed));
    }

} // namespace

std::string claimStoreKey(const WorkspaceId& workspace, const std::string& idempotencyKey)
{
    return "/agatevane/claims/" + workspace.value + "/" + digest128(idempotencyKey);
}

std::string requestDigestOf(const ServiceId& service, const std::string& body)
{
    return digest128(service.value + '\0' + body);
}

ClaimAnswer makeClaimAnswer(int status, std::string contentType, std::string body)
{
    ClaimAnswer answer { status, std::move(contentType), body.size(), digestOf(body), true, {} };
    answer.hasBody = body.size() <= maxRecordedBodyBytes;
    answer.body = std::move(body);
    return answer;
}

bool isBodyIntact(const ClaimAnswer& answer)
{
    return answer.body.size() == answer.length && digestOf(answer.body) == answer.digest;
}

std::string encodeClaim(const Claim& claim)
{
    nlohmann::json header { { "key", claim.key }, { "requestDigest", claim.requestDigest }, { "token", claim.token },
        { "attempt", claim.attempt.value }, { "worker", claim.worker.id.value }, { "address", claim.worker.address },
        { "instance", claim.worker.instance }, { "state", nameOf(claim.state) } };
    if (claim.state != ClaimState::Done)
        return json::dump(header);
    header["status"] = claim.answer.status;
    header["contentType"] = claim.answer.contentType;
    header["length"] = claim.answer.length;
    header["digest"] = claim.answer.digest;
    header["hasBody"] = claim.answer.hasBody;
    return json::dump(header) + "\n" + (claim.answer.hasBody ? claim.answer.body : std::string());
}

std::optional<Claim> decodeClaim(const std::string& text)
{
    auto lineEnd = text.find('\n');
    Findings findings;
    nlohmann::json header;
    if (!json::parse(std::string_view(text).substr(0, lineEnd), "claim", header, findings))
        return std::nullopt;
    Claim claim;
    json::ObjectReader reader(header, "", findings);
    reader.read("key", claim.key);
    reader.read("requestDigest", claim.requestDigest);
    reader.read("token", claim.token);
    reader.read("attempt", claim.attempt);
    reader.read("worker", claim.worker.id);
    reader.read("address", claim.worker.address);
    reader.read("instance", claim.worker.instance);
    reader.read("state", claim.state);
    if (findings.empty() && claim.state == ClaimState::Done) {
        reader.read("status", claim.answer.status);
        reader.read("contentType", claim.answer.contentType);
        reader.read("length", claim.answer.length);
        reader.read("digest", claim.answer.digest);
        reader.read("hasBody", claim.answer.hasBody);
        if (lineEnd != std::string::npos)
            claim.answer.body = text.substr(lineEnd + 1);
        if (claim.answer.hasBody && !isBodyIntact(claim.answer))
            return std::nullopt;
    }
    return findings.empty() ? std::optional(std::move(claim)) : std::nullopt;
}

} // namespace agatevane
