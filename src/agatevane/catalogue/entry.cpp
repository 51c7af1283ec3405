#include "agatevane/catalogue/entry.h"

namespace agatevane {

namespace {

    const std::string& nameOfId(const std::string& id)
    {
        return id;
    }

    template <typename Tag> const std::string& nameOfId(const Id<Tag>& id)
    {
        return id.value;
    }

} // namespace

std::string pathOf(const EntryKey& key)
{
    return std::string(nameOf(key.kind)) + "/" + key.name;
}

std::string storeKeyOf(const EntryKey& key)
{
    return std::string(cataloguePrefix) + pathOf(key);
}

std::optional<EntryKey> entryKeyOf(std::string_view storeKey)
{
    if (!storeKey.starts_with(cataloguePrefix))
        return std::nullopt;
    storeKey.remove_prefix(cataloguePrefix.size());
    auto slash = storeKey.find('/');
    if (slash == std::string_view::npos || slash + 1 == storeKey.size())
        return std::nullopt;
    auto kind = fromName<EntryKind>(storeKey.substr(0, slash));
    if (!kind)
        return std::nullopt;
    return EntryKey { *kind, std::string(storeKey.substr(slash + 1)) };
}

EntryKey keyOf(const Entry& entry)
{
    auto name = std::visit([](const auto& each) { return nameOfId(each.id); }, entry);
    return { static_cast<EntryKind>(entry.index()), std::move(name) };
}

} // namespace agatevane
