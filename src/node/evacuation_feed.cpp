#include "node/evacuation_feed.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/evacuation.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Short, so that two watches in a row may be lost within the bound of 5 s before starts are held: the requests are
    //! known as of the time at which the last answered watch was sent.
    constexpr PrefixFollower::WatchTimes evacuationsWatch { Millis(500), Millis(0) };

} // namespace

EvacuationFeed::EvacuationFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
    fleet::Fleet& fleet, std::function<void()> changed)
    : translation_(translation)
    , fleet_(fleet)
    , changed_(std::move(changed))
    , follower_(context, store, translation.evacuationPrefix, evacuationsWatch,
          { [this](const kv::ReadResult& listed) {
               applyListed(listed);
               changed_();
           },
              [this](const std::vector<kv::Change>& changes) {
                  for (const auto& change : changes)
                      applyChange(change);
                  changed_();
              } })
{
}

void EvacuationFeed::start(const kv::ReadResult& listed, Instant askedAt)
{
    applyListed(listed);
    follower_.startAfter(listed.asOf, askedAt);
    update(bootNow());
}

void EvacuationFeed::stop()
{
    follower_.stop();
}

void EvacuationFeed::update(Instant at)
{
    follower_.reportSilence(at);
    fleet_.evacuations.knownUntil
        = follower_.knownAsOf() + fleet::evacuationKnowledgeLimit(*fleet_.limits.evacuationBound);
    bool areHeld = fleet::areStartsHeld(fleet_, at);
    if (std::exchange(areStartsHeld_, areHeld) == areHeld)
        return;
    fleet_.isPlacementDue = true;
    Line(areHeld ? "starts_held" : "starts_resumed")
        .with("tenure", fleet_.tenure)
        .with("reason", areHeld ? "evacuations_not_known" : "evacuations_known")
        .with("known_ms_ago", elapsed(follower_.knownAsOf(), at).count());
}

void EvacuationFeed::applyListed(const kv::ReadResult& listed)
{
    std::set<std::string> zones;
    for (const auto& item : listed.items) {
        if (auto zone = decode(item))
            zones.insert(std::move(*zone));
    }
    fleet::replaceEvacuations(fleet_, zones, bootNow());
}

void EvacuationFeed::applyChange(const kv::Change& change)
{
    if (change.isRemoval)
        return fleet::endEvacuation(fleet_, change.item.key.substr(translation_.evacuationPrefix.size()), bootNow());
    if (auto zone = decode(change.item))
        fleet::requestEvacuation(fleet_, *zone, bootNow());
}

std::optional<std::string> EvacuationFeed::decode(const kv::Item& item) const
{
    Findings findings;
    auto zone = translation_.decodeEvacuation(item, findings);
    for (const auto& finding : findings)
        Line("evacuation_finding").with("place", finding.place).with("text", finding.text);
    return zone;
}

} // namespace agatevane::node
