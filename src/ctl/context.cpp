#include "ctl/context.h"

#include "agatevane/base/error.h"
#include "agatevane/json/reader.h"
#include <algorithm>
#include <ostream>

namespace agatevane::ctl {

namespace {

    std::string addressOf(const http::Endpoint& entry)
    {
        return entry.address + ":" + std::to_string(entry.port);
    }

    //! Replaces control characters, so that text from other processes cannot send control sequences to the terminal.
    std::string printable(std::string text)
    {
        std::ranges::replace_if(
            text, [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
        return text;
    }

    std::string toText(const nlohmann::json& value)
    {
        if (value.is_null())
            return "";
        if (value.is_boolean())
            return value.get<bool>() ? "yes" : "no";
        if (value.is_array()) {
            std::string text;
            for (const auto& element : value)
                text += (text.empty() ? "" : ",") + toText(element);
            return text;
        }
        return value.is_string() ? printable(value.get<std::string>()) : json::dump(value);
    }

    std::string fieldOf(const nlohmann::json& row, const std::string& field)
    {
        auto slash = field.find('/');
        auto found = row.is_object() ? row.find(field.substr(0, slash)) : row.end();
        if (!row.is_object() || found == row.end())
            return "";
        return slash == std::string::npos ? toText(*found) : fieldOf(*found, field.substr(slash + 1));
    }

    void printTransportError(const Context& context, const std::string& method, std::error_code error)
    {
        context.err << "cannot reach the entry at " << addressOf(context.entry) << ": " << error.message() << "\n";
        if (error == Errc::Unreachable)
            context.err << "Check --entry (AGATEVANE_ENTRY), or name another entry VM.\n";
        else if (method != "GET")
            context.err << "The request may have taken effect; check the state before repeating it.\n";
    }

    void printProblem(const Context& context, const Answer& answer)
    {
        const auto& body = answer.body;
        auto title = fieldOf(body, "title");
        context.err << (title.empty() ? "refused" : title) << " (HTTP status " << answer.status << ")\n";
        for (const char* field : { "detail", "outcome", "result" }) {
            if (auto text = fieldOf(body, field); !text.empty())
                context.err << field << ": " << text << "\n";
        }
        if (answer.status == 401)
            context.err << "Check --token (AGATEVANE_TOKEN).\n";
        if (!body.is_object() || !body.contains("findings"))
            return;
        for (const auto& finding : body["findings"])
            context.err << fieldOf(finding, "place") << ": " << fieldOf(finding, "text") << "\n";
    }

    ExitCode exitCodeOf(int status)
    {
        switch (status) {
        case 404:
            return NotFound;
        case 409:
        case 412:
            return Conflict;
        case 504:
            return Unknown;
        default:
            return status >= 200 && status < 300 ? Success : Refused;
        }
    }

} // namespace

Answer sendRequest(const Context& context, const std::string& method, const std::string& path, const std::string& body,
    const http::Headers& headers, int unreportedStatus)
{
    auto allHeaders = headers;
    if (!context.token.empty())
        allHeaders.emplace("Authorization", "Bearer " + context.token);
    http::Client client(context.entry);
    auto result = client.request(method, path, body, now() + context.timeout, allHeaders);
    Answer answer;
    if (result.error) {
        printTransportError(context, method, result.error);
        bool cannotHaveTakenEffect = result.error == Errc::Unreachable || method == "GET";
        answer.exitCode = cannotHaveTakenEffect ? Unreachable : Unknown;
        return answer;
    }
    answer.status = result.status;
    answer.etag = http::headerOf(result.headers, "ETag");
    answer.exitCode = exitCodeOf(result.status);
    Findings findings;
    bool isJson = result.body.empty() || json::parse(result.body, "answer", answer.body, findings);
    if (!isJson && answer.exitCode == Success) {
        context.err << "the answer of " << addressOf(context.entry) << " is not JSON; is this an agatevane-entry?\n";
        answer.exitCode = Refused;
    } else if (answer.exitCode != Success && answer.status != unreportedStatus) {
        printProblem(context, answer);
    }
    return answer;
}

void printRows(const Context& context, const nlohmann::json& body, const std::string& rowsField,
    const std::vector<Column>& columns)
{
    if (context.format == OutputFormat::Json) {
        context.out << json::dump(body) << "\n";
        return;
    }
    auto elements = body.is_object() && body.contains(rowsField) ? body[rowsField] : nlohmann::json::array();
    // Entry VMs and nodes answer with different fields for the same rows, so columns that no row has are left out.
    std::vector<Column> visibleColumns;
    std::copy_if(columns.begin(), columns.end(), std::back_inserter(visibleColumns), [&elements](const Column& column) {
        auto name = column.field.substr(0, column.field.find('/'));
        return elements.empty()
            || std::any_of(elements.begin(), elements.end(),
                [&name](const nlohmann::json& element) { return element.is_object() && element.contains(name); });
    });
    std::vector<std::vector<std::string>> rows { {} };
    for (const auto& column : visibleColumns)
        rows[0].push_back(column.title);
    for (const auto& element : elements) {
        auto& row = rows.emplace_back();
        for (const auto& column : visibleColumns)
            row.push_back(fieldOf(element, column.field));
    }
    std::vector<std::size_t> widths(visibleColumns.size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        context.out << line << "\n";
    }
    auto missing = fieldOf(body, "dataCentresWithoutAnswer");
    if (!missing.empty())
        context.err << "no answer from the owners of: " << missing << "\n";
}

void printObject(const Context& context, const nlohmann::json& body)
{
    if (context.format == OutputFormat::Json || !body.is_object()) {
        context.out << json::dump(body) << "\n";
        return;
    }
    std::size_t width = 0;
    for (const auto& [name, value] : body.items())
        width = std::max(width, name.size());
    for (const auto& [name, value] : body.items()) {
        auto text = toText(value);
        if (!text.empty())
            context.out << name << ":" << std::string(width - name.size() + 1, ' ') << text << "\n";
    }
}

} // namespace agatevane::ctl
