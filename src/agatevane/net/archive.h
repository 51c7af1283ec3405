#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace agatevane::net {

//! Appends values to a string in the byte order of the VM; all VMs are little-endian.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit OutputArchive(std::string& target)
        : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this)
        , target_(target)
    {
    }

    void saveBinary(const void* data, std::size_t size) { target_.append(static_cast<const char*>(data), size); }

private:
    std::string& target_;
};

//! Reads what OutputArchive wrote. cereal resizes containers to the length on the wire before it reads their elements;
//! this archive refuses a length larger than the bytes that remain, so that a malicious datagram cannot exhaust memory.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit InputArchive(std::string_view source)
        : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this)
        , source_(source)
    {
    }

    void loadBinary(void* data, std::size_t size)
    {
        if (size > source_.size())
            throw cereal::Exception("message is shorter than its content");
        // The pointer of an empty view may be null, which memcpy does not accept even for a size of 0.
        if (size > 0)
            std::memcpy(data, source_.data(), size);
        source_.remove_prefix(size);
    }

    void loadLength(cereal::size_type& length)
    {
        loadBinary(&length, sizeof length);
        constexpr cereal::size_type maxElements = 1 << 20;
        if (length > source_.size() || length > maxElements)
            throw cereal::Exception("length exceeds the message");
    }

    std::size_t remaining() const { return source_.size(); }

private:
    std::string_view source_;
};

// cereal finds these functions, whose names it fixes, by argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const T& value)
{
    archive.saveBinary(std::addressof(value), sizeof value);
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, T& value)
{
    archive.loadBinary(std::addressof(value), sizeof value);
}

template <typename Archive, typename T>
requires std::is_same_v<Archive, InputArchive> || std::is_same_v<Archive, OutputArchive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <typename T> void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::SizeTag<T>& tag)
{
    cereal::size_type length = tag.size;
    archive.saveBinary(&length, sizeof length);
}

template <typename T> void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::SizeTag<T>& tag)
{
    cereal::size_type length = 0;
    archive.loadLength(length);
    tag.size = static_cast<std::decay_t<T>>(length);
}

template <typename T> void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::BinaryData<T>& data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T> void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::BinaryData<T>& data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

template <typename Message> std::string encode(const Message& message)
{
    std::string bytes;
    OutputArchive archive(bytes);
    archive(message);
    return bytes;
}

//! Returns false if the bytes are not exactly one message; `message` is then unspecified.
template <typename Message> bool decode(std::string_view bytes, Message& message)
{
    try {
        InputArchive archive(bytes);
        archive(message);
        return archive.remaining() == 0;
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace agatevane::net

CEREAL_REGISTER_ARCHIVE(agatevane::net::OutputArchive)
CEREAL_REGISTER_ARCHIVE(agatevane::net::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(agatevane::net::InputArchive, agatevane::net::OutputArchive)
