#pragma once

#include <asio/buffer.hpp>
#include <cstddef>
#include <string_view>
#include <vector>

namespace agatevane::event_http {

//! Takes the bytes that a connection reads at once. An owner of a fleet holds thousands of connections, nearly all of
//! which carry short messages: the buffer begins small, and grows on connections that carry long ones.
class ReadBuffer {
public:
    //! Where the next read may write.
    asio::mutable_buffer space()
    {
        bool wasFull = used_ == bytes_.size();
        if (wasFull)
            bytes_.resize(used_ == 0 ? initialBytes : maxBytes);
        return asio::buffer(bytes_);
    }

    //! The bytes that a read has written; valid until the next call of space().
    std::string_view take(std::size_t size)
    {
        used_ = size;
        return { bytes_.data(), size };
    }

private:
    static constexpr std::size_t initialBytes = 2048;
    static constexpr std::size_t maxBytes = 16384;

    std::vector<char> bytes_;
    std::size_t used_ = 0; //!< bytes of the last read
};

} // namespace agatevane::event_http
