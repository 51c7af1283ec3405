#include "record.h"

#include "http.h"
#include <cstdio>
#include <cstdlib>

namespace rig {

Record& Record::instance()
{
    static auto* record = new Record;
    return *record;
}

void Record::open(const std::string& path)
{
    file_ = std::fopen(path.c_str(), "w");
    startedAtMs_ = nowMs();
    if (!file_) {
        std::perror(path.c_str());
        std::_Exit(2);
    }
}

void Record::add(const std::string& text)
{
    std::lock_guard lock(mutex_);
    if (!file_)
        return;
    std::fprintf(file_, "%7lld %s\n", nowMs() - startedAtMs_, text.c_str());
    std::fflush(file_);
}

void record(const std::string& text)
{
    Record::instance().add(text);
}

} // namespace rig
