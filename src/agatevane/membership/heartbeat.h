#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include "agatevane/net/rpc.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatevane::membership {

//! `Unheard` members are known from settings or the VM list only; they are never gossiped.
enum class MemberState : std::uint8_t { Unheard, Alive, Suspected, Dead, Left };

//! What one member says about another.
struct MemberRecord {
    MemberId member;
    net::PeerAddress address;
    std::uint32_t incarnation = 0; //!< raised only by the member itself
    MemberState state = MemberState::Alive;

    bool operator==(const MemberRecord&) const = default;
};

//! One datagram.
struct Heartbeat {
    std::uint32_t deployment = 0; //!< datagrams of other deployments are ignored
    MemberRecord sender; //!< state is Alive or Left
    bool isForWatcher = false; //!< the sender relies on the receiver to notice its silence
    std::uint64_t lamportClock = 0;
    std::uint64_t catalogueRevision = 0;
    //! Age of the sender's proof that its catalogue is fresh. A datagram may be delayed without bound, so this only
    //! says whom to ask; it proves nothing to the receiver.
    std::uint32_t freshnessAgeMs = 0;
    std::vector<MemberRecord> records;

    bool operator==(const Heartbeat&) const = default;
};

constexpr std::size_t maxRecords = 11; //!< of the longest names and addresses these stay within one datagram
constexpr std::size_t maxNameBytes = 64;

//! IPv4 and UDP headers, which count towards the traffic budget.
constexpr std::size_t datagramOverhead = 28;

//! At most net::maxDatagramBytes. Names beyond `maxNameBytes` and records beyond `maxRecords` are cut off.
std::string encodeHeartbeat(const Heartbeat& heartbeat);

//! False if the bytes are not exactly one valid heartbeat.
bool decodeHeartbeat(std::string_view bytes, Heartbeat& heartbeat);

//! Bytes that the record takes in a datagram.
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
