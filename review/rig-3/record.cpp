#include "record.h"

#include "http.h"
#include <iostream>

namespace rig {

Record::Record(const std::string& path)
    : file_(path)
    , startMs_(steadyMs())
{
}

void Record::note(const std::string& text)
{
    std::lock_guard lock(mutex_);
    file_ << steadyMs() - startMs_ << " " << text << std::endl;
}

void Record::say(const std::string& text)
{
    note(text);
    std::cout << text << std::endl;
}

} // namespace rig
