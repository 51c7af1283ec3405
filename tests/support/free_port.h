#pragma once

//! Ports for servers that a test starts.
namespace agatevane::test {

//! A port of the loopback address that is free for TCP and UDP, never handed out twice by this process. It lies below
//! the range from which the kernel takes ports for outgoing connections: one of those could take a port between its
//! choice and the start of the server.
int freePort();

//! As freePort, and no other test process gets the port as long as this one lives: its UDP port stays bound. For
//! programs that use only TCP and are stopped and started again.
int reservedPort();

} // namespace agatevane::test
