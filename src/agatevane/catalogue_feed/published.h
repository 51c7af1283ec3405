#pragma once

#include <atomic>
#include <memory>

namespace agatevane {

//! Read-copy-update of an immutable value. Readers keep the version that they loaded while a newer one is published.
template <typename T> class Published {
public:
    explicit Published(std::shared_ptr<const T> initial)
        : value_(std::move(initial))
    {
    }

    std::shared_ptr<const T> load() const { return value_.load(std::memory_order_acquire); }
    void store(std::shared_ptr<const T> value) { value_.store(std::move(value), std::memory_order_release); }

private:
    std::atomic<std::shared_ptr<const T>> value_;
};

} // namespace agatevane
