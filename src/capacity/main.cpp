#include "agatevane/settings/settings.h"
#include "capacity/measure.h"
#include <iostream>

int main(int argc, char** argv)
{
    agatevane::settings::Settings settings("agatevane-capacity",
        "Measures the cost of agatevane's parts at several sizes, fits lines and prints docs/CAPACITY.md, which\n"
        "extrapolates them to the target scale. Takes about a minute; run it on an otherwise idle machine.",
        "agatevane-capacity > docs/CAPACITY.md");
    if (auto exitCode = settings.parseOrPrint(argc, argv, std::cout, std::cerr))
        return *exitCode;
    std::cout << agatevane::capacity::report() << std::flush;
}
