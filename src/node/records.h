#pragma once

#include "agatevane/kv/kv.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include <cstdint>
#include <optional>
#include <string>

//! Records of the owner of the fleet in the store.
namespace agatevane::node {

constexpr const char* ownerKey = "agatevane/owner";
//! Every write of an owner is conditional on this key and moves it on, so that no write of an earlier owner, and no
//! late one, can still be applied.
constexpr const char* commitKey = "agatevane/commit";

//! Held under the owner's lease.
struct OwnerRecord {
    std::string name;
    net::PeerAddress address;
    std::uint32_t tenure = 0;
    std::string token; //!< unique for each try to become the owner

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(name, address.address, address.port, tenure, token);
    }
};

//! An owner record as some node has read it.
struct OwnerView {
    kv::Revision revision = 0; //!< 0: nothing is known
    OwnerRecord record;

    template <typename Archive> void serialize(Archive& archive) { archive(revision, record); }
};

struct CommitRecord {
    std::uint32_t tenure = 0;
    std::string token; //!< unique for each transaction; tells whether one whose answer was lost was applied

    template <typename Archive> void serialize(Archive& archive) { archive(tenure, token); }
};

template <typename Record> std::optional<Record> decodeRecord(const std::string& bytes)
{
    Record record;
    if (!net::decode(bytes, record))
        return std::nullopt;
    return record;
}

} // namespace agatevane::node
