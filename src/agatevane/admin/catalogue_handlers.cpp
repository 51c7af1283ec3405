#include "agatevane/admin/catalogue_handlers.h"

#include "agatevane/admin/access.h"
#include "agatevane/http/problem.h"
#include "agatevane/json/reader.h"
#include <charconv>

namespace agatevane::admin {

namespace {

    std::string etagOf(std::int64_t revision)
    {
        return "\"" + std::to_string(revision) + "\"";
    }

    void refuse(http::Response& response, int status, const std::string& title, const std::string& detail = "",
        const Findings& findings = {})
    {
        http::Problem problem { .status = status, .title = title, .detail = detail };
        problem.findings = findings;
        if (status == 503)
            problem.retryAfterSeconds = 5;
        http::writeProblem(problem, response);
    }

    //! Stored text was validated when it was written. Text that cannot be read is returned as null.
    nlohmann::json parseOrNull(const std::string& text)
    {
        nlohmann::json value;
        Findings ignored;
        json::parse(text, "entry", value, ignored);
        return value;
    }

    std::optional<EntryKind> readKind(const http::Request& request, http::Response& response)
    {
        auto kind = fromName<EntryKind>(request.matches.at(1));
        if (!kind)
            refuse(response, 404, "no such kind of entry");
        return kind;
    }

    //! Reads the revision that the caller expects: 5 for `If-Match: "5"`, 0 for `If-None-Match: *`. Otherwise writes a
    //! problem to `response` and returns no value.
    std::optional<std::int64_t> readExpectedRevision(const http::Request& request, http::Response& response)
    {
        auto match = http::headerOf(request.headers, "If-Match");
        if (match.empty() && http::headerOf(request.headers, "If-None-Match") == "*")
            return 0;
        if (match.empty()) {
            refuse(response, 428, "a condition is required",
                "send If-Match with the ETag that was read, or If-None-Match: * to create");
            return std::nullopt;
        }
        std::int64_t revision = 0;
        bool isQuoted = match.size() > 2 && match.front() == '"' && match.back() == '"';
        const auto* last = match.data() + match.size() - 1;
        auto [end, error]
            = isQuoted ? std::from_chars(match.data() + 1, last, revision) : std::from_chars_result { last, {} };
        if (!isQuoted || error != std::errc() || end != last || revision < 1) {
            refuse(response, 400, "If-Match is not an ETag of this service", "such as \"42\", with the quotes");
            return std::nullopt;
        }
        return revision;
    }

    void writeConflict(const ChangeResult& result, const nlohmann::json& proposed, http::Response& response)
    {
        refuse(response, 409, "the entry was changed by someone else", "read it, merge and send its new ETag");
        auto body = nlohmann::json::parse(response.body);
        body["proposed"] = proposed;
        body["current"] = result.current ? parseOrNull(result.current->json) : nlohmann::json();
        if (result.current) {
            body["currentRevision"] = result.current->revision;
            response.headers.emplace("ETag", etagOf(result.current->revision));
        }
        response.body = json::dump(body);
    }

    void writeResult(
        const Change& change, const ChangeResult& result, const nlohmann::json& proposed, http::Response& response)
    {
        auto path = "/v1/catalogue/" + std::string(nameOf(change.kind)) + "/" + change.name;
        http::Problem problem;
        switch (result.status) {
        case ChangeStatus::Accepted:
            response.headers.emplace("ETag", etagOf(result.revision));
            response.body = json::dump(
                { { "kind", nameOf(change.kind) }, { "name", change.name }, { "revision", result.revision } });
            return;
        case ChangeStatus::Conflict:
            return writeConflict(result, proposed, response);
        case ChangeStatus::Invalid:
            return refuse(response, 422, "the entry is not valid", "nothing was changed", result.findings);
        case ChangeStatus::Unavailable:
            return refuse(response, 503, "the store cannot be reached", "nothing was changed");
        case ChangeStatus::Unknown:
            problem = { .status = 504, .title = "no answer from the store" };
            problem.detail = "the change may be in force; read the entry before sending it again";
            problem.outcome = Outcome::Unknown;
            problem.resultLink = path;
            return http::writeProblem(problem, response);
        }
    }

    //! The entry that the request is about, with the revision that the caller expects and no new value. Otherwise
    //! writes a problem to `response` and returns no value.
    std::optional<Change> readChange(const http::Request& request, http::Response& response)
    {
        auto kind = readKind(request, response);
        if (!kind)
            return std::nullopt;
        auto revision = readExpectedRevision(request, response);
        if (!revision)
            return std::nullopt;
        return Change { *kind, request.matches.at(2), *revision, std::nullopt };
    }

    //! Checks that the caller may change the entry and that the expected revision matches, and makes the change.
    void makeChange(const Functions& functions, const CallerEntry& caller, const Change& change,
        const nlohmann::json& proposed, http::Response& response)
    {
        auto current = functions.findEntry(change.kind, change.name);
        auto before = current ? parseOrNull(current->json) : nlohmann::json();
        if (auto reason = reasonForRefusal(caller, change.kind, before, proposed); !reason.empty())
            return refuse(response, 403, "not allowed", reason);
        // The permissions were checked against this version, so no other version may be replaced. While this process's
        // view is older than the caller's ETag, the caller gets a conflict, which disappears once the view is up to
        // date.
        auto currentRevision = current ? current->revision : 0;
        if (currentRevision != change.expectedRevision)
            return writeConflict({ .status = ChangeStatus::Conflict, .current = current }, proposed, response);
        writeResult(change, functions.change(change), proposed, response);
    }

} // namespace

void listCatalogue(const Functions& functions, const http::Request& request, http::Response& response)
{
    if (!authenticate(functions, request, response))
        return;
    auto kindName = http::parameterOf(request, "kind");
    auto kind = fromName<EntryKind>(kindName);
    if (!kindName.empty() && !kind)
        return refuse(response, 404, "no such kind of entry");
    auto catalogue = functions.catalogue();
    auto entries = nlohmann::json::array();
    for (const auto& entry : catalogue.entries) {
        if (kind && entry.kind != *kind)
            continue;
        entries.push_back({ { "kind", nameOf(entry.kind) }, { "name", entry.name }, { "revision", entry.revision },
            { "entry", parseOrNull(entry.json) } });
    }
    response.body = json::dump({ { "revision", catalogue.revision }, { "entries", std::move(entries) } });
}

void getEntry(const Functions& functions, const http::Request& request, http::Response& response)
{
    if (!authenticate(functions, request, response))
        return;
    auto kind = readKind(request, response);
    if (!kind)
        return;
    auto entry = functions.findEntry(*kind, request.matches.at(2));
    if (!entry)
        return refuse(response, 404, "no such entry");
    response.headers.emplace("ETag", etagOf(entry->revision));
    response.body = entry->json;
}

void putEntry(const Functions& functions, const http::Request& request, http::Response& response)
{
    auto caller = authenticate(functions, request, response);
    if (!caller)
        return;
    auto change = readChange(request, response);
    if (!change)
        return;
    change->json = request.body;
    nlohmann::json proposed;
    Findings findings;
    if (json::parse(request.body, "body", proposed, findings)) {
        if (!proposed.is_object())
            findings.push_back({ "body", "must be an object" });
        else if (proposed.value("id", nlohmann::json()) != change->name)
            findings.push_back({ "/id", "must be the name in the path, \"" + change->name + "\"" });
    }
    if (!findings.empty())
        return refuse(response, 422, "the entry is not valid", "nothing was changed", findings);
    makeChange(functions, *caller, *change, proposed, response);
}

void deleteEntry(const Functions& functions, const http::Request& request, http::Response& response)
{
    auto caller = authenticate(functions, request, response);
    if (!caller)
        return;
    auto change = readChange(request, response);
    if (!change)
        return;
    if (change->expectedRevision == 0 || !functions.findEntry(change->kind, change->name))
        return refuse(response, 404, "no such entry");
    makeChange(functions, *caller, *change, nullptr, response);
}

} // namespace agatevane::admin
