#include "process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace agatevane::test {

std::string binFolder()
{
    const char* folder = std::getenv("AGATEVANE_BIN");
    return folder ? folder : "bin";
}

Process::Process(const std::string& program, std::vector<std::string> arguments)
    : name_(program)
{
    std::string pattern = "/tmp/agatevane-test-XXXXXX";
    int output = mkstemp(pattern.data());
    outputFile_ = pattern;
    auto path = binFolder() + "/" + program;
    std::vector<char*> argv { path.data() };
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    pid_ = fork();
    if (pid_ < 0)
        throw std::runtime_error("cannot fork to start " + program);
    if (pid_ == 0) {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // Closes inherited descriptors. Otherwise sockets of the test, such as those of a relay, would stay open in the
        // program after the test has closed them.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    close(output);
}

Process::~Process()
{
    kill();
    if (!outputFile_.empty())
        unlink(outputFile_.c_str());
}

Process::Process(Process&& other) noexcept
    : name_(std::move(other.name_))
    , outputFile_(std::exchange(other.outputFile_, {}))
    , pid_(std::exchange(other.pid_, -1))
    , exitCode_(other.exitCode_)
{
}

Process& Process::operator=(Process&& other) noexcept
{
    std::swap(name_, other.name_);
    std::swap(outputFile_, other.outputFile_);
    std::swap(pid_, other.pid_);
    std::swap(exitCode_, other.exitCode_);
    return *this;
}

void Process::kill()
{
    if (pid_ < 0)
        return;
    ::kill(pid_, SIGKILL);
    reap();
}

void Process::reap()
{
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
}

void Process::pause()
{
    if (pid_ >= 0)
        ::kill(pid_, SIGSTOP);
}

void Process::resume()
{
    if (pid_ >= 0)
        ::kill(pid_, SIGCONT);
}

int Process::terminate(Millis limit)
{
    if (pid_ < 0)
        return -1;
    ::kill(pid_, SIGTERM);
    auto deadline = now() + limit;
    int status = 0;
    while (now() < deadline) {
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(Millis(10));
    }
    kill();
    return -1;
}

void Process::requestStop()
{
    if (pid_ >= 0)
        ::kill(pid_, SIGTERM);
}

bool Process::isRunning()
{
    if (pid_ < 0)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    pid_ = -1;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

std::string Process::output() const
{
    std::ifstream file(outputFile_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace agatevane::test
