#pragma once

#include "agatevane/base/enum_names.h"
#include <array>
#include <cstddef>

namespace agatevane::event_http {

//! The clients that a server's address is for. Each kind has a share of the budget that the others can't use.
enum class Audience { Callers, Readiness, Operators };

constexpr std::size_t audienceCount = 3;

//! How much of a share is used.
enum class Pressure {
    None,
    High, //!< no new message is read
    Critical, //!< connections are closed until the pressure has fallen
};

//! The memory that all connections of a process's HTTP servers may hold. It only counts; the servers act on the
//! pressure.
class ByteBudget {
public:
    explicit ByteBudget(std::size_t totalBytes);

    //! A connection that held `from` bytes now holds `to` bytes.
    void change(Audience audience, std::size_t from, std::size_t to);

    std::size_t used(Audience audience) const { return used_[indexOf(audience)]; }
    std::size_t share(Audience audience) const { return shares_[indexOf(audience)]; }
    Pressure pressure(Audience audience) const;
    //! True if the use is so far below the first threshold that reading on does not bring the pressure back at once.
    bool hasRecovered(Audience audience) const;

private:
    static constexpr std::size_t indexOf(Audience audience) { return static_cast<std::size_t>(audience); }

    std::array<std::size_t, audienceCount> shares_ {};
    std::array<std::size_t, audienceCount> used_ {};
};

//! The share of `audience` in a budget of `totalBytes`.
std::size_t shareOf(Audience audience, std::size_t totalBytes);

//! The use of a share from which the pressure is critical.
std::size_t criticalBytes(std::size_t shareBytes);

} // namespace agatevane::event_http

template <> struct agatevane::EnumNames<agatevane::event_http::Audience> {
    using Audience = agatevane::event_http::Audience;
    static constexpr std::array<std::pair<Audience, std::string_view>, 3> table { {
        { Audience::Callers, "callers" },
        { Audience::Readiness, "readiness" },
        { Audience::Operators, "operators" },
    } };
};
