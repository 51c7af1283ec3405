#include "rig/record.h"

namespace review {

std::int64_t rigMillis()
{
    static const auto start = agatevane::now();
    return agatevane::elapsed(start, agatevane::now()).count();
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (file_)
        std::fclose(file_);
}

void Record::line(const std::string& text)
{
    if (!file_)
        return;
    std::fprintf(file_, "%8.3f  %s\n", static_cast<double>(rigMillis()) / 1000, text.c_str());
    std::fflush(file_);
}

} // namespace review
