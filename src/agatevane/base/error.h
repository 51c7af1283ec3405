#pragma once

#include <string>
#include <system_error>
#include <type_traits>

namespace agatevane {

//! Errors of communication with other processes. After `Timeout`, `Disconnected` and `OutcomeUnknown` it is unknown
//! whether the other side carried out the request.
enum class Errc {
    Ok,
    Timeout, //!< no answer before the deadline; the effect is unknown
    Disconnected, //!< the connection broke after sending; the effect is unknown
    Unreachable, //!< no connection was made; there was no effect
    Malformed, //!< the answer could not be decoded
    TooLarge, //!< a size limit was exceeded
    Conflict, //!< a compare in a transaction failed
    StaleEpoch, //!< the other side has seen a higher epoch
    NotOwner, //!< this process does not own the data centre
    Refused, //!< the other side refused the request; there was no effect
    Unavailable, //!< a needed service is down; there was no effect
    OutcomeUnknown //!< the other side failed while it handled the request; the effect is unknown
};

namespace detail {

    class ErrorCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "agatevane"; }

        std::string message(int value) const override
        {
            switch (static_cast<Errc>(value)) {
            case Errc::Ok:
                return "ok";
            case Errc::Timeout:
                return "timeout";
            case Errc::Disconnected:
                return "connection broken after sending";
            case Errc::Unreachable:
                return "no connection";
            case Errc::Malformed:
                return "malformed answer";
            case Errc::TooLarge:
                return "size bound exceeded";
            case Errc::Conflict:
                return "transaction conflict";
            case Errc::StaleEpoch:
                return "stale epoch";
            case Errc::NotOwner:
                return "not the owner";
            case Errc::Refused:
                return "refused";
            case Errc::Unavailable:
                return "unavailable";
            case Errc::OutcomeUnknown:
                return "outcome unknown";
            }
            return "unknown error";
        }
    };

} // namespace detail

inline const std::error_category& errorCategory()
{
    static const detail::ErrorCategory category;
    return category;
}

inline std::error_code make_error_code(Errc errc)
{
    return { static_cast<int>(errc), errorCategory() };
}

} // namespace agatevane

template <> struct std::is_error_code_enum<agatevane::Errc> : std::true_type {
};
