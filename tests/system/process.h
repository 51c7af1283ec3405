#pragma once

#include "agatevane/base/instant.h"
#include "tests/support/free_port.h"
#include <string>
#include <sys/types.h>
#include <vector>

namespace agatevane::test {

//! A program started by a test. The destructor kills it, so that a failed test leaves nothing running.
class Process {
public:
    //! Starts a program of the build's bin folder. `output` returns what it has written to stdout and stderr.
    Process(const std::string& program, std::vector<std::string> arguments);
    ~Process();
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    //! Sends SIGKILL and waits until the process has ended.
    void kill();
    void pause();
    void resume();
    //! Sends SIGTERM and returns the exit code, or -1 if the process did not exit by itself within the limit and was
    //! killed.
    int terminate(Millis limit = Millis(15000));
    //! Sends SIGTERM without waiting. `isRunning` returns false once the process has exited.
    void requestStop();
    bool isRunning();
    //! Exit code, or -1 if a signal ended the process. Valid only after `isRunning` has found the process ended.
    int exitCode() const { return exitCode_; }
    std::string output() const;
    //! Negative once the process has ended.
    pid_t pid() const { return pid_; }
    const std::string& name() const { return name_; }

private:
    void reap();

    std::string name_;
    std::string outputFile_;
    pid_t pid_ = -1;
    int exitCode_ = 0;
};

//! Folder of the built programs.
std::string binFolder();

} // namespace agatevane::test
