#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/transfer.h"
#include <string>

namespace agatevane::node {

//! How a node asks for the desired state.
enum class StateSource { Read, Watch, Pull, Part };

} // namespace agatevane::node

template <> struct agatevane::EnumNames<agatevane::node::StateSource> {
    static constexpr std::array<std::pair<agatevane::node::StateSource, std::string_view>, 4> table { {
        { agatevane::node::StateSource::Read, "read" },
        { agatevane::node::StateSource::Watch, "watch" },
        { agatevane::node::StateSource::Pull, "pull" },
        { agatevane::node::StateSource::Part, "part" },
    } };
};

namespace agatevane::node {

//! A call, or several in a row, that asks for the desired state.
struct StateReception {
    StateSource source = StateSource::Read;
    Instant startedAt; //!< on the clock of now()
    std::string peer; //!< address of the node that was asked; empty: the store
    TransferProgress progress;
    Instant firstByteAt; //!< on the clock of now(); of no meaning before the first byte
    Instant lastByteAt; //!< as above
};

//! Records progress at `at`.
void noteProgress(StateReception& reception, const TransferProgress& progress, Instant at);
//! True if the answer arrives and, at the rate so far, is complete soon.
bool isArriving(const StateReception& reception, Instant at);

} // namespace agatevane::node
