#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace agatevane {

//! A string identifier whose type prevents confusion with identifiers of another kind.
template <typename Tag> struct Id {
    std::string value;

    // clang-tidy 14 takes the literal zero of a rewritten comparison for a null pointer.
    auto operator<=>(const Id&) const = default; // NOLINT(modernize-use-nullptr)
    bool empty() const { return value.empty(); }

    //! cereal support; include <cereal/types/string.hpp> where an archive is used.
    template <typename Archive> void serialize(Archive& archive) { archive(value); }
};

template <typename Tag> std::ostream& operator<<(std::ostream& stream, const Id<Tag>& id)
{
    return stream << id.value;
}

using RegionId = Id<struct RegionTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using WorkerId = Id<struct WorkerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using CallerId = Id<struct CallerTag>;
using ServiceId = Id<struct ServiceTag>;
using JobId = Id<struct JobTag>;
//! One attempt to run a job or a request. It is never reused, so that a late answer is not taken for that of another
//! attempt.
using AttemptId = Id<struct AttemptTag>;
//! One entry VM.
using MemberId = Id<struct MemberTag>;

} // namespace agatevane

template <typename Tag> struct std::hash<agatevane::Id<Tag>> {
    std::size_t operator()(const agatevane::Id<Tag>& id) const { return std::hash<std::string> {}(id.value); }
};
