#include "agatevane/catalogue/view.h"

#include "agatevane/catalogue/codec.h"
#include <algorithm>
#include <set>

namespace agatevane {

bool CatalogueView::apply(const EntryUpdate& update)
{
    auto key = entryKeyOf(update.key);
    auto found = entries_.find(update.key);
    if (found != entries_.end() && found->second.revision >= update.revision)
        return false;
    bool wasLive = found != entries_.end() && !found->second.isDeleted;
    liveCount_ += (update.isDeleted ? 0 : 1) - (wasLive ? 1 : 0);
    entries_[update.key] = update;
    highestRevision_ = std::max(highestRevision_, update.revision);
    unreadable_.erase(update.key);
    if (!key)
        return true; // An entry of an unknown kind is kept for the count and for peers that know the kind.
    if (update.isDeleted) {
        erase(catalogue_, *key);
        return true;
    }
    Entry entry;
    auto findings = decodeEntry(key->kind, update.value, entry);
    if (findings.empty() && keyOf(entry) != *key)
        findings.push_back({ "/id", "differs from the name of the entry" });
    if (findings.empty())
        insert(catalogue_, std::move(entry));
    else
        unreadable_[update.key] = std::move(findings);
    return true;
}

void CatalogueView::applyAll(const std::vector<EntryUpdate>& entries, std::int64_t revision)
{
    std::set<std::string> present;
    for (const auto& entry : entries) {
        apply(entry);
        present.insert(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, entry] : entries_) {
        if (!entry.isDeleted && entry.revision <= revision && !present.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        apply({ .key = key, .revision = revision, .isDeleted = true, .value = {} });
    if (revision > catalogue_.revision)
        tombstonesSince_ = revision;
    advance(revision);
}

bool CatalogueView::applyChanged(const std::vector<EntryUpdate>& changed, std::int64_t count, std::int64_t revision)
{
    for (const auto& entry : changed)
        apply(entry);
    // Entries that are newer than the read may also make the count differ. The full read that follows then is
    // unnecessary but harmless.
    if (liveCount_ != count)
        return false;
    advance(revision);
    return true;
}

void CatalogueView::advance(std::int64_t revision)
{
    catalogue_.revision = std::max(catalogue_.revision, revision);
    highestRevision_ = std::max(highestRevision_, revision);
}

std::vector<EntryUpdate> CatalogueView::changesSince(std::int64_t revision, std::size_t maxBytes, bool& hasMore) const
{
    std::vector<const EntryUpdate*> changedEntries;
    for (const auto& [key, entry] : entries_) {
        if (entry.revision > revision)
            changedEntries.push_back(&entry);
    }
    std::sort(changedEntries.begin(), changedEntries.end(),
        [](const EntryUpdate* a, const EntryUpdate* b) { return a->revision < b->revision; });
    std::vector<EntryUpdate> changes;
    std::size_t bytes = 0;
    hasMore = false;
    for (const auto* entry : changedEntries) {
        constexpr std::size_t entryOverhead = 64; // Bytes per entry besides its key and its value.
        bytes += entry->key.size() + entry->value.size() + entryOverhead;
        // A page ends only between two revisions, since the next page starts after the last revision of this page.
        if (bytes > maxBytes && !changes.empty() && changes.back().revision != entry->revision) {
            hasMore = true;
            break;
        }
        changes.push_back(*entry);
    }
    return changes;
}

const EntryUpdate* CatalogueView::find(const EntryKey& key) const
{
    auto found = entries_.find(storeKeyOf(key));
    return found == entries_.end() || found->second.isDeleted ? nullptr : &found->second;
}

} // namespace agatevane
