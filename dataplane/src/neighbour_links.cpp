#include <algorithm>
#include <iterator>

#include <corkward/dataplane/neighbour_links.h>

namespace corkward::dataplane {

std::vector<std::string> NeighbourLinks::choose(Milliseconds now, std::size_t count, Milliseconds interval,
                                                Peers const& peers, RouterTuning const& tuning,
                                                core::RandomGenerator& random) {
  dropStale(now, interval, peers, tuning);
  std::vector<std::string> others = shuffledOthers(now, peers, tuning, random);
  while (links_.size() > count)
    links_.erase(std::next(links_.begin(), static_cast<std::ptrdiff_t>(random.below(links_.size()))));
  while (links_.size() < count && !others.empty()) {
    auto const inSameZone = static_cast<std::size_t>(std::count_if(
        links_.begin(), links_.end(), [&](auto const& link) { return peers.sameZone.count(link.first) > 0; }));
    addOneOf(others, now, 3 * inSameZone < count, peers, tuning, random);
  }
  std::vector<std::string> chosen;
  chosen.reserve(links_.size());
  for (auto const& [name, link] : links_) chosen.push_back(name);
  return chosen;
}

void NeighbourLinks::dropStale(Milliseconds now, Milliseconds interval, Peers const& peers,
                               RouterTuning const& tuning) {
  std::erase_if(links_, [&](auto const& entry) {
    auto const& [name, link] = entry;
    bool const unresponsive = link.firstUnansweredAt >= 0 && now - link.firstUnansweredAt > interval + interval / 2;
    if (unresponsive) unresponsiveSince_[name] = now;
    return unresponsive || now - link.openedAt > tuning.neighbourRotationPeriod ||
           !std::binary_search(peers.links.begin(), peers.links.end(), name);
  });
}

std::vector<std::string> NeighbourLinks::shuffledOthers(Milliseconds now, Peers const& peers,
                                                        RouterTuning const& tuning,
                                                        core::RandomGenerator& random) const {
  std::vector<std::string> others;
  for (std::string const& name : peers.links)
    if (links_.count(name) == 0) others.push_back(name);
  for (std::size_t i = others.size(); i > 1; --i) std::swap(others[i - 1], others[random.below(i)]);
  std::stable_partition(others.begin(), others.end(), [&](std::string const& name) {
    return !isUnresponsive(now, name, tuning.unresponsivePeerTimeout);
  });
  return others;
}

void NeighbourLinks::addOneOf(std::vector<std::string>& others, Milliseconds now, bool sameZone, Peers const& peers,
                              RouterTuning const& tuning, core::RandomGenerator& random) {
  auto next = std::find_if(others.begin(), others.end(), [&](std::string const& name) {
    return (peers.sameZone.count(name) > 0) == sameZone && !isUnresponsive(now, name, tuning.unresponsivePeerTimeout);
  });
  if (next == others.end()) next = others.begin();
  auto const headStart = random.below(static_cast<std::uint64_t>(tuning.neighbourRotationPeriod / 2));
  links_[*next].openedAt = now - static_cast<Milliseconds>(headStart);
  others.erase(next);
}

bool NeighbourLinks::isUnresponsive(Milliseconds now, std::string const& link, Milliseconds timeout) const {
  auto const since = unresponsiveSince_.find(link);
  return since != unresponsiveSince_.end() && now - since->second < timeout;
}

void NeighbourLinks::onHeartbeatSent(Milliseconds now, std::string const& link) {
  Link& neighbour = links_[link];
  if (neighbour.firstUnansweredAt < 0) neighbour.firstUnansweredAt = now;
}

void NeighbourLinks::onReply(std::string const& link) {
  auto const neighbour = links_.find(link);
  if (neighbour != links_.end()) neighbour->second.firstUnansweredAt = -1;
}

void NeighbourLinks::forgetBefore(Milliseconds oldest) {
  std::erase_if(unresponsiveSince_, [&](auto const& entry) { return entry.second < oldest; });
}

}  // namespace corkward::dataplane
