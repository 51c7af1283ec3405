#pragma once

#include <string>
#include <vector>

namespace agatevane {

//! One error in some input. Findings are collected and reported together, so that the user can fix all of them at once.
struct Finding {
    std::string place; //!< location: file and line, entry and field, flag and variable, or JSON pointer
    std::string text;

    bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

//! Formats each finding as one line, "place: text".
inline std::string format(const Findings& findings)
{
    std::string lines;
    for (const auto& finding : findings)
        lines += finding.place + ": " + finding.text + "\n";
    return lines;
}

} // namespace agatevane
