#pragma once

#include "agatevane/base/instant.h"
#include <cstdio>
#include <string>

//! What was sent, answered and run, as a text file with one line for each event.
namespace review {

//! Milliseconds since the rig started.
std::int64_t rigMillis();

class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void line(const std::string& text);

private:
    std::FILE* file_ = nullptr;
};

} // namespace review
