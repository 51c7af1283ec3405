#pragma once

#include "agatevane/fleet/state.h"

namespace agatevane::fleet {

//! Sets `Fleet::tenantsWithinGuarantee`: tenants whose open urgent jobs need no more accelerators than they are
//! guaranteed.
void findTenantsWithinGuarantee(Fleet& fleet);

} // namespace agatevane::fleet
