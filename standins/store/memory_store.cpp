#include "standins/store/memory_store.h"

#include "agatevane/base/base64.h"
#include <algorithm>
#include <charconv>

namespace agatevane::standin {

namespace {

    constexpr int grpcOutOfRange = 11;
    constexpr int grpcNotFound = 5;

    bool contains(const std::string& key, const std::string& rangeEnd, const std::string& candidate)
    {
        if (rangeEnd.empty())
            return candidate == key;
        return candidate >= key && (rangeEnd == std::string(1, '\0') || candidate < rangeEnd);
    }

    const Json& arrayOf(const Json& object, const char* name)
    {
        static const Json empty = Json::array();
        auto found = object.find(name);
        return found == object.end() ? empty : *found;
    }

    void addNumber(Json& json, const char* name, std::int64_t value)
    {
        if (value != 0)
            json[name] = std::to_string(value);
    }

} // namespace

std::string bytesOf(const Json& object, const char* name)
{
    auto found = object.find(name);
    if (found == object.end())
        return {};
    auto bytes = found->is_string() ? fromBase64(found->get_ref<const std::string&>()) : std::nullopt;
    if (!bytes)
        throw StoreError { 3, std::string(name) + " is not base64" };
    return std::move(*bytes);
}

std::int64_t numberOf(const Json& object, const char* name)
{
    auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    std::int64_t number = 0;
    auto text = found->is_string() ? found->get<std::string>() : std::string();
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        throw StoreError { 3, std::string(name) + " is not a number" };
    return number;
}

bool flagOf(const Json& object, const char* name)
{
    auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

Json MemoryStore::header() const
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "raft_term", "1" },
        { "revision", std::to_string(revision_) } };
}

const MemoryStore::Version* MemoryStore::find(const std::string& key, std::int64_t revision) const
{
    auto found = keys_.find(key);
    if (found == keys_.end())
        return nullptr;
    const auto& versions = found->second;
    auto after = std::upper_bound(versions.begin(), versions.end(), revision,
        [](std::int64_t value, const Version& version) { return value < version.modRevision; });
    if (after == versions.begin() || std::prev(after)->version == 0)
        return nullptr;
    return &*std::prev(after);
}

std::vector<std::string> MemoryStore::keysIn(const std::string& key, const std::string& rangeEnd) const
{
    std::vector<std::string> keys;
    for (auto it = keys_.lower_bound(key); it != keys_.end() && contains(key, rangeEnd, it->first); ++it)
        keys.push_back(it->first);
    return keys;
}

Json MemoryStore::keyValue(const std::string& key, const Version& version, bool keysOnly) const
{
    Json kv { { "key", toBase64(key) } };
    addNumber(kv, "create_revision", version.createRevision);
    addNumber(kv, "mod_revision", version.modRevision);
    addNumber(kv, "version", version.version);
    addNumber(kv, "lease", version.lease);
    if (!keysOnly && !version.value.empty())
        kv["value"] = toBase64(version.value);
    return kv;
}

Json MemoryStore::rangeLocked(const Json& request, std::int64_t latest) const
{
    auto revision = numberOf(request, "revision");
    if (revision > revision_)
        throw StoreError { grpcOutOfRange, "etcdserver: mvcc: required revision is a future revision" };
    if (revision > 0 && revision < compacted_)
        throw StoreError { grpcOutOfRange, "etcdserver: mvcc: required revision has been compacted" };
    auto limit = numberOf(request, "limit");
    auto minModRevision = numberOf(request, "min_mod_revision");
    bool countOnly = flagOf(request, "count_only");
    Json answer { { "header", header() } };
    Json kvs = Json::array();
    std::int64_t count = 0;
    for (const auto& key : keysIn(bytesOf(request, "key"), bytesOf(request, "range_end"))) {
        const auto* version = find(key, revision > 0 ? revision : latest);
        if (!version)
            continue;
        ++count;
        if (countOnly || version->modRevision < minModRevision)
            continue;
        if (limit > 0 && static_cast<std::int64_t>(kvs.size()) == limit)
            answer["more"] = true;
        else
            kvs.push_back(keyValue(key, *version, flagOf(request, "keys_only")));
    }
    if (!kvs.empty())
        answer["kvs"] = std::move(kvs);
    addNumber(answer, "count", count);
    return answer;
}

void MemoryStore::append(const std::string& key, Version version, Write& write)
{
    const auto* old = find(key, write.revision);
    if (old && old->lease != 0 && old->lease != version.lease)
        leases_[old->lease].keys.erase(key);
    if (version.version != 0 && version.lease != 0)
        leases_[version.lease].keys.insert(key);
    write.changed = true;
    version.modRevision = write.revision;
    keys_[key].push_back(std::move(version));
    changes_.push_back({ write.revision, key });
}

void MemoryStore::putLocked(const Json& request, Write& write)
{
    auto key = bytesOf(request, "key");
    auto value = bytesOf(request, "value");
    auto lease = numberOf(request, "lease");
    if (lease != 0 && !leases_.contains(lease))
        throw StoreError { grpcNotFound, "etcdserver: requested lease not found" };
    const auto* old = find(key, write.revision);
    append(key,
        { .createRevision = old ? old->createRevision : write.revision,
            .version = old ? old->version + 1 : 1,
            .lease = lease,
            .value = std::move(value) },
        write);
}

std::int64_t MemoryStore::deleteLocked(const std::string& key, const std::string& rangeEnd, Write& write)
{
    std::int64_t deleted = 0;
    for (const auto& candidate : keysIn(key, rangeEnd)) {
        if (!find(candidate, write.revision))
            continue;
        append(candidate, {}, write);
        ++deleted;
    }
    return deleted;
}

void MemoryStore::commit(const Write& write)
{
    if (!write.changed)
        return;
    revision_ = write.revision;
    if (revision_ - compacted_ > 2 * limits_.historyRevisions)
        compactLocked(revision_ - limits_.historyRevisions);
    changed_.notify_all();
}

Json MemoryStore::range(const Json& request)
{
    std::lock_guard lock(mutex_);
    return rangeLocked(request, revision_);
}

Json MemoryStore::put(const Json& request)
{
    std::lock_guard lock(mutex_);
    std::set<std::string> puts;
    checkOperations({ { "success", Json::array({ { { "request_put", request } } }) } }, puts);
    Write write { revision_ + 1 };
    putLocked(request, write);
    commit(write);
    return { { "header", header() } };
}

Json MemoryStore::deleteRange(const Json& request)
{
    std::lock_guard lock(mutex_);
    Write write { revision_ + 1 };
    auto deleted = deleteLocked(bytesOf(request, "key"), bytesOf(request, "range_end"), write);
    commit(write);
    Json answer { { "header", header() } };
    addNumber(answer, "deleted", deleted);
    return answer;
}

Json MemoryStore::txn(const Json& request)
{
    std::lock_guard lock(mutex_);
    std::set<std::string> puts;
    checkOperations(request, puts);
    // All compares, including nested ones, are evaluated before the first operation.
    std::vector<bool> path;
    evaluateCompares(request, path);
    Write write { revision_ + 1 };
    std::size_t nextStep = 0;
    auto answer = applyTxn(request, path, nextStep, write);
    commit(write);
    answer["header"] = header();
    return answer;
}

void MemoryStore::checkOperations(const Json& txn, std::set<std::string>& puts) const
{
    std::set<std::string> all = puts;
    for (const auto* branch : { "success", "failure" }) {
        const auto& operations = arrayOf(txn, branch);
        if (operations.size() > limits_.maxTxnOperations || arrayOf(txn, "compare").size() > limits_.maxTxnOperations)
            throw StoreError { 3, "etcdserver: too many operations in txn request" };
        std::set<std::string> own = puts;
        for (const auto& operation : operations) {
            if (auto nested = operation.find("request_txn"); nested != operation.end()) {
                checkOperations(*nested, own);
            } else if (auto put = operation.find("request_put"); put != operation.end()) {
                auto key = bytesOf(*put, "key");
                if (key.empty())
                    throw StoreError { 3, "etcdserver: key is not provided" };
                if (bytesOf(*put, "value").size() > limits_.maxValueBytes)
                    throw StoreError { 3, "etcdserver: request is too large" };
                auto lease = numberOf(*put, "lease");
                if (lease != 0 && !leases_.contains(lease))
                    throw StoreError { grpcNotFound, "etcdserver: requested lease not found" };
                if (!own.insert(key).second)
                    throw StoreError { 3, "etcdserver: duplicate key given in txn request" };
            }
        }
        all.insert(own.begin(), own.end());
    }
    puts = std::move(all);
}

bool MemoryStore::compareHolds(const Json& compare) const
{
    const auto* version = find(bytesOf(compare, "key"), revision_);
    auto target = compare.value("target", "VERSION");
    int order = 0;
    if (target == "VALUE") {
        if (!version)
            return false;
        auto expected = bytesOf(compare, "value");
        order = version->value < expected ? -1 : version->value > expected ? 1 : 0;
    } else {
        std::int64_t actual = 0;
        const char* name = "version";
        if (target == "CREATE")
            name = "create_revision";
        else if (target == "MOD")
            name = "mod_revision";
        else if (target == "LEASE")
            name = "lease";
        if (version) {
            actual = target == "CREATE" ? version->createRevision
                : target == "MOD"       ? version->modRevision
                : target == "LEASE"     ? version->lease
                                        : version->version;
        }
        auto expected = numberOf(compare, name);
        order = actual < expected ? -1 : actual > expected ? 1 : 0;
    }
    auto result = compare.value("result", "EQUAL");
    if (result == "EQUAL")
        return order == 0;
    if (result == "NOT_EQUAL")
        return order != 0;
    return result == "LESS" ? order < 0 : order > 0;
}

void MemoryStore::evaluateCompares(const Json& txn, std::vector<bool>& path) const
{
    const auto& compares = arrayOf(txn, "compare");
    bool succeeded
        = std::all_of(compares.begin(), compares.end(), [this](const Json& each) { return compareHolds(each); });
    path.push_back(succeeded);
    for (const auto& operation : arrayOf(txn, succeeded ? "success" : "failure")) {
        if (auto nested = operation.find("request_txn"); nested != operation.end())
            evaluateCompares(*nested, path);
    }
}

Json MemoryStore::applyTxn(const Json& txn, const std::vector<bool>& path, std::size_t& nextStep, Write& write)
{
    bool succeeded = path.at(nextStep++);
    Json responses = Json::array();
    for (const auto& operation : arrayOf(txn, succeeded ? "success" : "failure")) {
        const auto entry = operation.begin();
        const auto& name = entry.key();
        const auto& body = entry.value();
        Json response { { "header", header() } };
        std::string responseName;
        if (name == "request_put") {
            putLocked(body, write);
            responseName = "response_put";
        } else if (name == "request_range") {
            response = rangeLocked(body, write.revision);
            responseName = "response_range";
        } else if (name == "request_delete_range") {
            addNumber(response, "deleted", deleteLocked(bytesOf(body, "key"), bytesOf(body, "range_end"), write));
            responseName = "response_delete_range";
        } else {
            response = applyTxn(body, path, nextStep, write);
            responseName = "response_txn";
        }
        responses.push_back({ { responseName, std::move(response) } });
    }
    Json answer { { "header", header() } };
    if (succeeded)
        answer["succeeded"] = true;
    if (!responses.empty())
        answer["responses"] = std::move(responses);
    return answer;
}

void MemoryStore::compact(std::int64_t revision)
{
    std::lock_guard lock(mutex_);
    compactLocked(std::min(revision, revision_));
    changed_.notify_all();
}

void MemoryStore::compactLocked(std::int64_t revision)
{
    if (revision <= compacted_)
        return;
    compacted_ = revision;
    for (auto it = keys_.begin(); it != keys_.end();) {
        auto& versions = it->second;
        auto after = std::upper_bound(versions.begin(), versions.end(), revision,
            [](std::int64_t value, const Version& version) { return value < version.modRevision; });
        // The last version at the compacted revision is still visible unless it is a deletion.
        if (after != versions.begin() && std::prev(after)->version != 0)
            --after;
        versions.erase(versions.begin(), after);
        it = versions.empty() ? keys_.erase(it) : std::next(it);
    }
    std::erase_if(changes_, [revision](const Change& change) { return change.revision <= revision; });
}

std::int64_t MemoryStore::revision() const
{
    std::lock_guard lock(mutex_);
    return revision_;
}

std::size_t MemoryStore::keyCount() const
{
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        keys_.begin(), keys_.end(), [this](const auto& item) { return find(item.first, revision_) != nullptr; }));
}

} // namespace agatevane::standin
