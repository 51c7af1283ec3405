#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace rig {

//! The file record.txt of a case. Each line begins with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void note(const std::string& text);
    //! As note(), and prints the line.
    void say(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startMs_;
};

} // namespace rig
