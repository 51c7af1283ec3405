#pragma once

//! The signals that ask a program to end: SIGINT and SIGTERM.
namespace agatevane {

//! Blocks the signals for the calling thread and for the threads that it starts, so that only
//! `waitForTerminationSignal` receives them; call it before any thread starts. Also ignores SIGPIPE, so that a write
//! to a closed connection fails instead of ending the process.
void blockTerminationSignals();

//! Waits for one of the blocked signals and returns its number.
int waitForTerminationSignal();

} // namespace agatevane
