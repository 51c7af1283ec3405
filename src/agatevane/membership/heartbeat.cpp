#include "agatevane/membership/heartbeat.h"

#include "agatevane/net/archive.h"
#include <algorithm>
#include <asio/ip/address.hpp>

namespace agatevane::membership {

namespace {

    constexpr std::uint8_t formatVersion = 1;

    //! Encodes a string with a length prefix of one byte. The prefix of cereal's own strings takes eight bytes, which
    //! would double the size of a heartbeat.
    struct ShortString {
        std::string& text;
        std::size_t maxBytes;

        template <typename Archive> void save(Archive& archive) const
        {
            auto length = static_cast<std::uint8_t>(std::min(text.size(), maxBytes));
            archive(length, cereal::binary_data(text.data(), length));
        }

        template <typename Archive> void load(Archive& archive)
        {
            std::uint8_t length = 0;
            archive(length);
            if (length > maxBytes)
                throw cereal::Exception("string in heartbeat exceeds its maximum length");
            text.resize(length);
            archive(cereal::binary_data(text.data(), length));
        }
    };

    //! Returns the four or sixteen bytes of an IP address, or an empty string if the address is empty or invalid.
    std::string packAddress(const std::string& address)
    {
        std::error_code error;
        auto ip = asio::ip::make_address(address, error);
        if (error)
            return {};
        if (ip.is_v4()) {
            auto bytes = ip.to_v4().to_bytes();
            return { bytes.begin(), bytes.end() };
        }
        auto bytes = ip.to_v6().to_bytes();
        return { bytes.begin(), bytes.end() };
    }

    //! Returns false if `packed` has neither four nor sixteen bytes.
    bool unpackAddress(const std::string& packed, std::string& address)
    {
        if (packed.size() == 4) {
            asio::ip::address_v4::bytes_type bytes;
            std::copy(packed.begin(), packed.end(), bytes.begin());
            address = asio::ip::address_v4(bytes).to_string();
            return true;
        }
        if (packed.size() == 16) {
            asio::ip::address_v6::bytes_type bytes;
            std::copy(packed.begin(), packed.end(), bytes.begin());
            address = asio::ip::address_v6(bytes).to_string();
            return true;
        }
        return false;
    }

    constexpr std::size_t maxAddressBytes = 16;

    void write(net::OutputArchive& archive, MemberRecord record)
    {
        auto packed = packAddress(record.address.address);
        auto port = static_cast<std::uint16_t>(record.address.port);
        archive(ShortString { record.member.value, maxNameBytes }, ShortString { packed, maxAddressBytes }, port,
            record.incarnation, static_cast<std::uint8_t>(record.state));
    }

    //! Returns false if a field of the record has an invalid value. Throws cereal::Exception if bytes are missing.
    bool read(net::InputArchive& archive, MemberRecord& record)
    {
        std::string packed;
        ShortString name { record.member.value, maxNameBytes };
        ShortString address { packed, maxAddressBytes };
        std::uint16_t port = 0;
        std::uint8_t state = 0;
        archive(name, address, port, record.incarnation, state);
        record.address.port = port;
        record.state = static_cast<MemberState>(state);
        return !record.member.empty() && unpackAddress(packed, record.address.address) && port != 0
            && record.state >= MemberState::Alive && record.state <= MemberState::Left;
    }

} // namespace

std::string encodeHeartbeat(const Heartbeat& heartbeat)
{
    std::string bytes;
    net::OutputArchive archive(bytes);
    auto count = static_cast<std::uint8_t>(std::min(heartbeat.records.size(), maxRecords));
    archive(formatVersion, heartbeat.deployment);
    write(archive, heartbeat.sender);
    archive(static_cast<std::uint8_t>(heartbeat.isWatchRequested), heartbeat.lamportClock, heartbeat.catalogueRevision,
        heartbeat.freshnessProofAgeMs, count);
    for (std::size_t i = 0; i < count; ++i)
        write(archive, heartbeat.records[i]);
    return bytes;
}

bool decodeHeartbeat(std::string_view bytes, Heartbeat& heartbeat)
{
    try {
        net::InputArchive archive(bytes);
        std::uint8_t version = 0;
        std::uint8_t count = 0;
        std::uint8_t isWatchRequested = 0;
        archive(version, heartbeat.deployment);
        if (version != formatVersion || !read(archive, heartbeat.sender))
            return false;
        archive(isWatchRequested, heartbeat.lamportClock, heartbeat.catalogueRevision, heartbeat.freshnessProofAgeMs,
            count);
        if (count > maxRecords || isWatchRequested > 1)
            return false;
        heartbeat.isWatchRequested = isWatchRequested == 1;
        heartbeat.records.assign(count, {});
        for (auto& record : heartbeat.records) {
            if (!read(archive, record))
                return false;
        }
        return archive.remaining() == 0;
    } catch (const cereal::Exception&) {
        return false;
    }
}

std::size_t encodedSize(const MemberRecord& record)
{
    constexpr std::size_t fixedBytes = 1 + 1 + 2 + 4 + 1;
    return fixedBytes + std::min(record.member.value.size(), maxNameBytes) + packAddress(record.address.address).size();
}

} // namespace agatevane::membership
