#include "entry/fresh_catalogue.h"

#include "agatevane/http/problem.h"

namespace agatevane::entry {

namespace {

    constexpr int retryAfterSeconds = 2;

} // namespace

SnapshotPointer FreshCatalogue::load() const
{
    // Loaded before the proof, the snapshot could be one that the proved snapshot has replaced.
    return isFresh() ? published.load() : nullptr;
}

std::optional<CatalogueRefusal> FreshCatalogue::findRefusal(
    const SnapshotPointer& snapshot, const CallerEntry& caller) const
{
    auto newest = load();
    if (!newest)
        return CatalogueRefusal::NotFresh;
    if (newest == snapshot)
        return std::nullopt;
    auto found = newest->callers.find(caller.id);
    if (found == newest->callers.end() || *found->second != caller)
        return CatalogueRefusal::CallerChanged;
    return std::nullopt;
}

void writeRefusal(CatalogueRefusal refusal, http::Response& response)
{
    http::Problem problem { .status = 503, .title = std::string(nameOf(refusal)), .outcome = Outcome::NotRun };
    problem.retryAfterSeconds = retryAfterSeconds;
    http::writeProblem(problem, response);
}

} // namespace agatevane::entry
