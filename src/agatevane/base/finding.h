#pragma once

#include <string>
#include <vector>

namespace agatevane {

//! One fault in some input. Findings are collected and reported together, so that the user can fix all of them at once.
struct Finding {
    std::string place; //!< file and line, entry and field, flag and variable, or JSON pointer
    std::string text;

    bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

//! One line for each finding: "place: text".
inline std::string format(const Findings& findings)
{
    std::string lines;
    for (const auto& finding : findings)
        lines += finding.place + ": " + finding.text + "\n";
    return lines;
}

} // namespace agatevane
