#pragma once

#include "agatevane/base/instant.h"
#include "tests/support/free_port.h"
#include <string>
#include <sys/types.h>
#include <vector>

namespace agatevane::test {

//! A program started by a test. Killed when the object is destroyed, so that a failed test leaves nothing running.
class Process {
public:
    //! Starts a program of the build's bin folder; its output goes to a file whose end `output` returns.
    Process(const std::string& program, std::vector<std::string> arguments);
    ~Process();
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    //! kill -9, and waits for the end.
    void kill();
    void pause();
    void resume();
    //! SIGTERM; returns the exit code, or -1 if the process did not exit by itself within the limit and was killed.
    int terminate(Millis limit = Millis(15000));
    //! SIGTERM without waiting; `isRunning` tells when the process has exited.
    void requestStop();
    bool isRunning();
    //! Of a process that `isRunning` has found ended: its exit code, or -1 if a signal ended it.
    int exitCode() const { return exitCode_; }
    std::string output() const;
    const std::string& name() const { return name_; }

private:
    void collect();

    std::string name_;
    std::string outputFile_;
    pid_t pid_ = -1;
    int exitCode_ = 0;
};

//! Folder of the built programs.
std::string binFolder();

} // namespace agatevane::test
