#pragma once

//! Ports for servers that a test starts.
namespace agatevane::test {

//! A port of the loopback address that is free for TCP and UDP. No other test process gets it as long as this one
//! lives, also while the server on it is down. It lies below the range from which the kernel takes ports for outgoing
//! connections: one of those could take a port between its choice and the start of the server.
int freePort();

} // namespace agatevane::test
