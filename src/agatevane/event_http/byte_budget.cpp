#include "agatevane/event_http/byte_budget.h"

namespace agatevane::event_http {

namespace {

    //! Shares in percent, in the order of Audience. Operators' pages can have some megabytes; readiness checks have no
    //! body.
    constexpr std::array<std::size_t, audienceCount> sharePercent { 65, 10, 25 };
    constexpr std::size_t highPercent = 50;
    //! The rest of the share is for the growth of a body's buffer, which doubles, by the read that reaches this value.
    constexpr std::size_t criticalPercent = 75;
    constexpr std::size_t recoveredPercent = 25;
    constexpr std::size_t hundred = 100;

} // namespace

std::size_t shareOf(Audience audience, std::size_t totalBytes)
{
    return totalBytes / hundred * sharePercent[static_cast<std::size_t>(audience)];
}

std::size_t criticalBytes(std::size_t shareBytes)
{
    return shareBytes / hundred * criticalPercent;
}

ByteBudget::ByteBudget(std::size_t totalBytes)
{
    for (std::size_t index = 0; index < audienceCount; ++index)
        shares_[index] = shareOf(static_cast<Audience>(index), totalBytes);
}

void ByteBudget::change(Audience audience, std::size_t from, std::size_t to)
{
    auto& used = used_[indexOf(audience)];
    used = used - from + to;
}

bool ByteBudget::hasRecovered(Audience audience) const
{
    return used(audience) < share(audience) / hundred * recoveredPercent;
}

Pressure ByteBudget::pressure(Audience audience) const
{
    auto bytes = used(audience);
    if (bytes >= criticalBytes(share(audience)))
        return Pressure::Critical;
    return bytes >= share(audience) / hundred * highPercent ? Pressure::High : Pressure::None;
}

} // namespace agatevane::event_http
