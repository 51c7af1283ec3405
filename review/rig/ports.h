#pragma once

namespace review {

//! A port of the loopback address that is free now. It lies below the range from which the kernel takes ports for
//! outgoing connections, so that none of them takes it while its server is down.
int freePort();

} // namespace review
