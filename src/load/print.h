#pragma once

#include "load/runner.h"
#include <iosfwd>

namespace agatevane::load {

void print(const Report& report, Format format, std::ostream& out);

} // namespace agatevane::load
