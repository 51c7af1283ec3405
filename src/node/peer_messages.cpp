#include "node/peer_messages.h"

namespace agatevane::node {

ForwardedAnswer toForwardedAnswer(const CallerAnswer& answer)
{
    ForwardedAnswer encoded;
    encoded.status = answer.status;
    encoded.reason = answer.reason;
    if (answer.state)
        encoded.state = static_cast<std::int32_t>(*answer.state);
    if (answer.waitingJobs)
        encoded.waitingJobs = *answer.waitingJobs;
    return encoded;
}

CallerAnswer toCallerAnswer(const ForwardedAnswer& answer)
{
    CallerAnswer decoded;
    decoded.status = answer.status;
    decoded.reason = answer.reason;
    if (answer.state >= 0 && answer.state <= static_cast<std::int32_t>(fleet::VisibleState::Cancelled))
        decoded.state = static_cast<fleet::VisibleState>(answer.state);
    if (answer.waitingJobs >= 0)
        decoded.waitingJobs = static_cast<std::uint32_t>(answer.waitingJobs);
    return decoded;
}

} // namespace agatevane::node
