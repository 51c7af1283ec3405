#include "agatevane/store/codec.h"

#include "agatevane/base/base64.h"
#include "agatevane/json/reader.h"
#include <charconv>

namespace agatevane::store {

namespace {

    using Json = nlohmann::json;

    struct MalformedMessage { };

    Json encodeBytes(const std::string& bytes)
    {
        return toBase64(bytes);
    }

    void addNumber(Json& json, const char* name, std::int64_t value)
    {
        if (value != 0)
            json[name] = std::to_string(value);
    }

    void addRange(Json& json, const std::string& key, const std::string& rangeEnd)
    {
        json["key"] = encodeBytes(key);
        if (!rangeEnd.empty())
            json["range_end"] = encodeBytes(rangeEnd);
    }

    Json toJson(const RangeRequest& request)
    {
        Json json = Json::object();
        addRange(json, request.key, request.rangeEnd);
        addNumber(json, "limit", request.limit);
        addNumber(json, "revision", request.revision);
        addNumber(json, "min_mod_revision", request.minModRevision);
        if (request.keysOnly)
            json["keys_only"] = true;
        if (request.countOnly)
            json["count_only"] = true;
        return json;
    }

    Json toJson(const PutRequest& request)
    {
        Json json { { "key", encodeBytes(request.key) }, { "value", encodeBytes(request.value) } };
        addNumber(json, "lease", request.lease);
        return json;
    }

    Json toJson(const DeleteRequest& request)
    {
        Json json = Json::object();
        addRange(json, request.key, request.rangeEnd);
        return json;
    }

    Json toJson(const Compare& compare)
    {
        static constexpr const char* targets[] = { "VERSION", "CREATE", "MOD", "VALUE", "LEASE" };
        static constexpr const char* numbers[] = { "version", "create_revision", "mod_revision", "value", "lease" };
        static constexpr const char* results[] = { "EQUAL", "NOT_EQUAL", "LESS", "GREATER" };
        auto target = static_cast<std::size_t>(compare.target);
        Json json { { "key", encodeBytes(compare.key) }, { "target", targets[target] },
            { "result", results[static_cast<std::size_t>(compare.result)] } };
        if (compare.target == CompareTarget::Value)
            json["value"] = encodeBytes(compare.value);
        else
            json[numbers[target]] = std::to_string(compare.number);
        return json;
    }

    Json toJson(const Txn& txn);

    Json toJson(const std::vector<Operation>& operations)
    {
        static constexpr const char* names[]
            = { "request_range", "request_put", "request_delete_range", "request_txn" };
        Json list = Json::array();
        for (const auto& operation : operations) {
            auto body = std::visit([](const auto& request) { return toJson(request); }, operation.request);
            list.push_back({ { names[operation.request.index()], std::move(body) } });
        }
        return list;
    }

    Json toJson(const Txn& txn)
    {
        Json json { { "compare", Json::array() }, { "success", toJson(txn.success) },
            { "failure", toJson(txn.failure) } };
        for (const auto& compare : txn.compares)
            json["compare"].push_back(toJson(compare));
        return json;
    }

    //! Finds a member under either name, since not all gateways keep the field names of the protocol file.
    const Json* find(const Json& object, const char* name, const char* otherName = nullptr)
    {
        if (!object.is_object())
            throw MalformedMessage();
        auto found = object.find(name);
        if (found == object.end() && otherName)
            found = object.find(otherName);
        return found == object.end() || found->is_null() ? nullptr : &*found;
    }

    std::int64_t readNumber(const Json& object, const char* name, const char* otherName = nullptr)
    {
        const auto* member = find(object, name, otherName);
        if (!member)
            return 0;
        if (member->is_number_integer())
            return member->get<std::int64_t>();
        if (!member->is_string())
            throw MalformedMessage();
        const auto& text = member->get_ref<const std::string&>();
        std::int64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            throw MalformedMessage();
        return number;
    }

    bool readFlag(const Json& object, const char* name)
    {
        const auto* member = find(object, name);
        if (member && !member->is_boolean())
            throw MalformedMessage();
        return member && member->get<bool>();
    }

    std::string readText(const Json& object, const char* name)
    {
        const auto* member = find(object, name);
        return member && member->is_string() ? member->get<std::string>() : std::string();
    }

    std::string readBytes(const Json& object, const char* name)
    {
        const auto* member = find(object, name);
        if (!member)
            return {};
        if (!member->is_string())
            throw MalformedMessage();
        auto bytes = fromBase64(member->get_ref<const std::string&>());
        if (!bytes)
            throw MalformedMessage();
        return std::move(*bytes);
    }

    const Json& arrayOf(const Json& object, const char* name)
    {
        static const Json empty = Json::array();
        const auto* member = find(object, name);
        if (member && !member->is_array())
            throw MalformedMessage();
        return member ? *member : empty;
    }

    Revision readRevision(const Json& object)
    {
        const auto* header = find(object, "header");
        return header ? readNumber(*header, "revision") : 0;
    }

    KeyValue toKeyValue(const Json& json)
    {
        return { .key = readBytes(json, "key"),
            .value = readBytes(json, "value"),
            .createRevision = readNumber(json, "create_revision", "createRevision"),
            .modRevision = readNumber(json, "mod_revision", "modRevision"),
            .version = readNumber(json, "version"),
            .lease = readNumber(json, "lease") };
    }

    void fromJson(const Json& json, RangeResult& result)
    {
        for (const auto& kv : arrayOf(json, "kvs"))
            result.kvs.push_back(toKeyValue(kv));
        result.more = readFlag(json, "more");
        result.count = readNumber(json, "count");
    }

    void fromJson(const Json& json, PutResult&)
    {
        if (!json.is_object())
            throw MalformedMessage();
    }

    void fromJson(const Json& json, DeleteResult& result)
    {
        result.deleted = readNumber(json, "deleted");
    }

    void fromJson(const Json& json, TxnResult& result);

    template <typename T> OperationResult toResult(const Json& json)
    {
        T result;
        fromJson(json, result);
        return { std::move(result) };
    }

    OperationResult toOperationResult(const Json& json)
    {
        if (const auto* body = find(json, "response_range", "responseRange"))
            return toResult<RangeResult>(*body);
        if (const auto* body = find(json, "response_put", "responsePut"))
            return toResult<PutResult>(*body);
        if (const auto* body = find(json, "response_delete_range", "responseDeleteRange"))
            return toResult<DeleteResult>(*body);
        if (const auto* body = find(json, "response_txn", "responseTxn"))
            return toResult<TxnResult>(*body);
        throw MalformedMessage();
    }

    void fromJson(const Json& json, TxnResult& result)
    {
        result.succeeded = readFlag(json, "succeeded");
        for (const auto& response : arrayOf(json, "responses"))
            result.results.push_back(toOperationResult(response));
    }

    //! Returns the message inside an element of a stream, or `json` itself if it is not such an element.
    const Json& unwrapResult(const Json& json)
    {
        const auto* result = find(json, "result");
        return result ? *result : json;
    }

    void fromJson(const Json& json, LeaseResult& result)
    {
        const auto& body = unwrapResult(json);
        result.id = readNumber(body, "ID");
        result.ttlSeconds = readNumber(body, "TTL");
    }

    void fromJson(const Json& json, WatchResponse& result)
    {
        const auto& body = unwrapResult(json);
        result.revision = readRevision(body);
        result.created = readFlag(body, "created");
        result.canceled = readFlag(body, "canceled");
        result.compactRevision = readNumber(body, "compact_revision", "compactRevision");
        result.reason = readText(body, "cancel_reason");
        if (const auto* error = find(json, "error")) {
            result.canceled = true;
            result.reason = error->is_object() ? readText(*error, "message") : readText(json, "error");
        }
        for (const auto& event : arrayOf(body, "events")) {
            const auto* kv = find(event, "kv");
            if (!kv)
                throw MalformedMessage();
            auto type = readText(event, "type") == "DELETE" ? EventType::Delete : EventType::Put;
            result.events.push_back({ type, toKeyValue(*kv) });
        }
    }

    template <typename Function> bool parseWith(std::string_view text, Function read)
    {
        Findings findings;
        Json json;
        if (!json::parse(text, "body", json, findings))
            return false;
        try {
            read(json);
            return true;
        } catch (const MalformedMessage&) {
            return false;
        }
    }

    template <typename T> bool decodeBody(std::string_view text, T& result, Revision& revision)
    {
        return parseWith(text, [&](const Json& json) {
            result = {};
            fromJson(json, result);
            revision = readRevision(unwrapResult(json));
        });
    }

} // namespace

std::string encode(const RangeRequest& request)
{
    return json::dump(toJson(request));
}

std::string encode(const PutRequest& request)
{
    return json::dump(toJson(request));
}

std::string encode(const DeleteRequest& request)
{
    return json::dump(toJson(request));
}

std::string encode(const Txn& request)
{
    return json::dump(toJson(request));
}

std::string encode(const WatchRequest& request)
{
    Json create = Json::object();
    addRange(create, request.key, request.rangeEnd);
    addNumber(create, "start_revision", request.startRevision);
    create["progress_notify"] = true;
    return json::dump({ { "create_request", std::move(create) } });
}

std::string encodeLeaseGrant(std::int64_t ttlSeconds)
{
    return json::dump({ { "TTL", std::to_string(ttlSeconds) } });
}

std::string encodeLeaseId(LeaseId id)
{
    return json::dump({ { "ID", std::to_string(id) } });
}

bool decode(std::string_view text, RangeResult& result, Revision& revision)
{
    return decodeBody(text, result, revision);
}

bool decode(std::string_view text, PutResult& result, Revision& revision)
{
    return decodeBody(text, result, revision);
}

bool decode(std::string_view text, DeleteResult& result, Revision& revision)
{
    return decodeBody(text, result, revision);
}

bool decode(std::string_view text, TxnResult& result, Revision& revision)
{
    return decodeBody(text, result, revision);
}

bool decode(std::string_view text, LeaseResult& result, Revision& revision)
{
    return decodeBody(text, result, revision);
}

bool decode(std::string_view text, WatchResponse& result)
{
    return parseWith(text, [&](const Json& json) {
        result = {};
        fromJson(json, result);
    });
}

std::string errorText(std::string_view text)
{
    constexpr std::size_t maxLength = 200;
    std::string message;
    parseWith(text, [&](const Json& json) {
        message = readText(json, "message");
        if (message.empty())
            message = readText(json, "error");
    });
    return message.empty() ? std::string(text.substr(0, maxLength)) : message;
}

} // namespace agatevane::store
