#pragma once

#include <mutex>
#include <string>

namespace rig {

//! Writes what was sent, answered and run to `record.txt`, one line for each event, with milliseconds since the start.
class Record {
public:
    static Record& instance();

    void open(const std::string& path);
    void add(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
    long long startedAtMs_ = 0;
};

void record(const std::string& text);

} // namespace rig
