#include "node/state_parts.h"

#include <algorithm>

namespace agatevane::node {

namespace {

    //! An earlier revision is kept this long after a part of it was last asked for.
    constexpr Millis servedRetention { 3000 };
    constexpr std::size_t maxServedRevisions = 3;
    //! Larger states are not received from other nodes.
    constexpr std::uint64_t maxStateBytes = 64UL * 1024 * 1024;

} // namespace

StatePartRequest StateAssembly::nextRequest(kv::Revision inForce) const
{
    if (bytes_.empty())
        return { inForce + 1, 0 };
    return { revision_, bytes_.size() };
}

bool StateAssembly::add(const StatePartRequest& request, const StatePart& part)
{
    bool continues = request.offset == bytes_.size()
        && (request.offset == 0 ? part.revision >= request.revision
                                : part.revision == revision_ && part.totalBytes == totalBytes_);
    if (!continues || part.bytes.empty() || part.totalBytes > maxStateBytes
        || bytes_.size() + part.bytes.size() > part.totalBytes)
        return false;
    revision_ = part.revision;
    totalBytes_ = part.totalBytes;
    bytes_ += part.bytes;
    return true;
}

void StateParts::setCurrent(kv::Revision revision, std::string bytes, Instant at)
{
    forgetUnused(at);
    revision_ = revision;
    bytes_ = std::make_shared<const std::string>(std::move(bytes));
}

StateParts::Found StateParts::find(const StatePartRequest& request) const
{
    bool isCurrentAsked = request.offset == 0 ? revision_ >= request.revision : revision_ == request.revision;
    if (isCurrentAsked)
        return { revision_, bytes_ };
    auto served = served_.find(request.revision);
    if (request.offset == 0 || served == served_.end())
        return {};
    return { request.revision, served->second.bytes };
}

void StateParts::forgetUnused(Instant at)
{
    std::erase_if(served_, [at](const auto& each) { return at - each.second.lastAskedAt > servedRetention; });
    while (served_.size() > maxServedRevisions)
        served_.erase(served_.begin());
}

StatePart StateParts::part(const StatePartRequest& request, Instant at)
{
    auto [revision, bytes] = find(request);
    if (!bytes || request.offset >= bytes->size())
        return { revision_, 0, {} };
    served_.insert_or_assign(revision, Served { bytes, at });
    forgetUnused(at);
    return { revision, bytes->size(), bytes->substr(request.offset, maxPartBytes) };
}

} // namespace agatevane::node
