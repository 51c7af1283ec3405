#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include "agatevane/net/rpc.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatevane::membership {

//! An `Unheard` member is known only from the settings or the VM list: no heartbeat or record of it has arrived yet.
//! Its record is never gossiped.
enum class MemberState : std::uint8_t { Unheard, Alive, Suspected, Dead, Left };

//! The state of a member as the sender of the record knows it.
struct MemberRecord {
    MemberId member;
    net::PeerAddress address;
    std::uint32_t incarnation = 0; //!< only the member itself raises it
    MemberState state = MemberState::Alive;

    bool operator==(const MemberRecord&) const = default;
};

//! The content of one datagram.
struct Heartbeat {
    std::uint32_t deployment = 0; //!< receivers ignore datagrams of other deployments
    MemberRecord sender; //!< its state is Alive or Left
    bool isWatchRequested = false; //!< the receiver must suspect the sender when heartbeats stop
    std::uint64_t lamportClock = 0;
    std::uint64_t catalogueRevision = 0;
    //! Age of the sender's proof that its catalogue is fresh. A datagram may be delayed without bound, so the receiver
    //! uses the age only to choose a peer to ask for the catalogue, never as a proof of freshness.
    std::uint32_t freshnessProofAgeMs = 0;
    std::vector<MemberRecord> records;

    bool operator==(const Heartbeat&) const = default;
};

//! Maximum number of records in a heartbeat. With the longest names and addresses, they still fit into one datagram.
constexpr std::size_t maxRecords = 11;
constexpr std::size_t maxNameBytes = 64;

//! Size in bytes of the IPv4 and UDP headers, which count towards the traffic budget.
constexpr std::size_t datagramOverhead = 28;

//! Returns at most net::maxDatagramBytes. Truncates names to `maxNameBytes` and drops records beyond `maxRecords`.
std::string encodeHeartbeat(const Heartbeat& heartbeat);

//! Returns false if the bytes are not exactly one valid heartbeat; `heartbeat` may then be partly filled.
bool decodeHeartbeat(std::string_view bytes, Heartbeat& heartbeat);

//! Returns the number of bytes that the record takes in a datagram.
std::size_t encodedSize(const MemberRecord& record);

} // namespace agatevane::membership

template <> struct agatevane::EnumNames<agatevane::membership::MemberState> {
    using E = membership::MemberState;
    static constexpr std::array<std::pair<E, std::string_view>, 5> table { {
        { E::Unheard, "unheard" },
        { E::Alive, "alive" },
        { E::Suspected, "suspected" },
        { E::Dead, "dead" },
        { E::Left, "left" },
    } };
};
