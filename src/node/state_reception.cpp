#include "node/state_reception.h"

namespace agatevane::node {

namespace {

    //! An answer of which nothing has come for this long does not count as arriving.
    constexpr Millis maxPause { 400 };
    //! Longest time that an arriving answer may still need.
    constexpr Millis maxRemaining { 1500 };

} // namespace

void noteProgress(StateReception& reception, const TransferProgress& progress, Instant at)
{
    if (reception.progress.receivedBytes == 0)
        reception.firstByteAt = at;
    reception.lastByteAt = at;
    reception.progress = progress;
}

bool isArriving(const StateReception& reception, Instant at)
{
    const auto& progress = reception.progress;
    if (progress.receivedBytes == 0 || at - reception.lastByteAt > maxPause)
        return false;
    if (progress.receivedBytes >= progress.expectedBytes)
        return true;
    auto missing = static_cast<double>(progress.expectedBytes - progress.receivedBytes);
    auto share = missing / static_cast<double>(progress.receivedBytes);
    return (at - reception.firstByteAt) * share <= maxRemaining;
}

} // namespace agatevane::node
