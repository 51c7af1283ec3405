#pragma once

#include "agatevane/kv/kv.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include <cstdint>
#include <optional>
#include <string>

//! Records in the store by which nodes elect the owner of the fleet and fence the writes of earlier owners.
namespace agatevane::node {

constexpr const char* ownerKey = "agatevane/owner";
//! Every write of an owner is conditional on the revision of this key and writes the key. A delayed write, or one of an
//! earlier owner, is therefore never applied.
constexpr const char* commitKey = "agatevane/commit";

constexpr const char* tenureKey = "agatevane/tenure";

//! Value of the owner key, which is bound to the owner's lease.
struct OwnerRecord {
    std::string name;
    net::PeerAddress address;
    std::uint32_t tenure = 0;
    std::string token; //!< unique for each attempt to become the owner

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(name, address.address, address.port, tenure, token);
    }
};

//! An owner record and the revision at which a node has read it.
struct OwnerView {
    kv::Revision revision = 0; //!< 0: no owner is known
    OwnerRecord record;

    template <typename Archive> void serialize(Archive& archive) { archive(revision, record); }
};

//! Value of the commit key: the last write of an owner.
struct CommitRecord {
    std::uint32_t tenure = 0;
    std::string token; //!< unique for each transaction; shows whether a transaction without an answer was applied

    template <typename Archive> void serialize(Archive& archive) { archive(tenure, token); }
};

//! Value of the tenure key: the tenure of the last election. It is read where the commit record can't be.
struct TenureRecord {
    std::uint32_t tenure = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(tenure); }
};

//! Returns nothing if `bytes` can't be decoded.
template <typename Record> std::optional<Record> decodeRecord(const std::string& bytes)
{
    Record record;
    if (!net::decode(bytes, record))
        return std::nullopt;
    return record;
}

} // namespace agatevane::node
