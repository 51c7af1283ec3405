#pragma once

//! Ports for servers that a test starts.
namespace agatevane::test {

//! Returns a port of the loopback address that is free for TCP and UDP. No other test process gets it while this
//! process runs, even while the server on it is down. It lies below the range from which the kernel takes ports for
//! outgoing connections: such a connection could otherwise take the port before the server starts.
int freePort();

} // namespace agatevane::test
