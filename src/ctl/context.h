#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/http/client.h"
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace agatevane::ctl {

enum class OutputFormat { Table, Json };

//! Exit codes, as documented by `--help`.
enum ExitCode : int {
    Success = 0,
    Refused = 1, //!< the entry VM refused the request; nothing was changed
    BadUsage = 2,
    Unreachable = 3, //!< no entry VM could be reached; nothing was changed
    Conflict = 4, //!< the catalogue entry was changed by someone else
    NotFound = 5,
    Unknown = 6, //!< the answer was lost; the change may have taken effect
    Invalid = 7, //!< a file has findings; nothing was changed
    Differs = 8 //!< `catalogue diff` found a difference
};

//! Settings and output streams that all commands share.
struct Context {
    http::Endpoint entry;
    std::string token;
    Millis timeout { 10000 };
    OutputFormat format = OutputFormat::Table;
    std::ostream& out;
    std::ostream& err;
};

struct Answer {
    ExitCode exitCode = Success;
    int status = 0;
    std::string etag;
    nlohmann::json body;
};

//! Sends one request. Errors are printed on `context.err`, except an answer with the HTTP status
//! `unreportedStatus`.
Answer sendRequest(const Context& context, const std::string& method, const std::string& path,
    const std::string& body = "", const http::Headers& headers = {}, int unreportedStatus = 0);

//! A column shows the member `field` of each row; a '/' in it separates the names of nested members.
struct Column {
    std::string title;
    std::string field;
};

//! Prints `body[rowsField]` as a table without the columns that no row has, or the whole body as JSON.
void printRows(const Context& context, const nlohmann::json& body, const std::string& rowsField,
    const std::vector<Column>& columns);

//! Prints one object as "field: value" lines, or as JSON.
void printObject(const Context& context, const nlohmann::json& body);

} // namespace agatevane::ctl

template <> struct agatevane::EnumNames<agatevane::ctl::OutputFormat> {
    using E = ctl::OutputFormat;
    static constexpr std::array<std::pair<E, std::string_view>, 2> table { {
        { E::Table, "table" },
        { E::Json, "json" },
    } };
};
