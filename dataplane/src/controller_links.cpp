#include <algorithm>

#include <corkward/dataplane/controller_links.h>

namespace corkward::dataplane {

void ControllerLinks::choose(Milliseconds now, std::vector<Candidate> const& known, RouterTuning const& tuning) {
  Milliseconds const patience = 2 * tuning.leaseRequestInterval + tuning.leaseRequestInterval / 2;
  noteTimeouts(now, patience);
  std::map<Rank, std::string> const ranked = rank(now, known, tuning.unresponsivePeerTimeout);
  chosen_.clear();
  std::size_t useful = 0;
  for (auto const& [place, name] : ranked) {
    if (useful >= tuning.controllerLinkCount || chosen_.size() >= tuning.maxControllerLinks) break;
    Link const& link = links_.at(name);
    useful += link.lastUsefulAt >= 0 && now - link.lastUsefulAt <= patience ? 1 : 0;
    chosen_.push_back(name);
  }
}

void ControllerLinks::noteTimeouts(Milliseconds now, Milliseconds patience) {
  for (std::string const& name : chosen_) {
    Link& link = links_[name];
    if (link.firstUnansweredAt < 0 || now - link.firstUnansweredAt <= patience) continue;
    link.timedOutAt = now;
    link.firstUnansweredAt = -1;
  }
}

std::map<ControllerLinks::Rank, std::string> ControllerLinks::rank(Milliseconds now,
                                                                   std::vector<Candidate> const& known,
                                                                   Milliseconds timeout) {
  std::map<Rank, std::string> ranked;
  for (Candidate const& candidate : known) {
    Link const& link = links_[candidate.link];
    bool const unresponsive = link.timedOutAt >= 0 && now - link.timedOutAt < timeout;
    ranked[{unresponsive ? link.timedOutAt : 0, !candidate.sameZone, candidate.hash}] = candidate.link;
  }
  return ranked;
}

bool ControllerLinks::onRequest(Milliseconds now, std::string const& link) {
  Link& asked = links_[link];
  asked.requestedAt = now;
  if (asked.firstUnansweredAt < 0) asked.firstUnansweredAt = now;
  if (!asked.revisionsWanted) return false;
  asked.revisionsWanted = false;
  asked.revisionsSentAt = now;
  return true;
}

void ControllerLinks::onUsefulReply(Milliseconds now, std::string const& link) {
  auto const found = links_.find(link);
  if (found == links_.end()) return;
  found->second.firstUnansweredAt = -1;
  found->second.lastUsefulAt = now;
}

bool ControllerLinks::onRevisionsWanted(Milliseconds now, std::string const& link, bool wanted, Milliseconds interval) {
  auto const found = links_.find(link);
  if (found == links_.end()) return false;
  found->second.revisionsWanted = wanted;
  return wanted && now - found->second.revisionsSentAt >= interval;
}

void ControllerLinks::forgetBefore(Milliseconds oldest) {
  std::erase_if(links_, [&](auto const& entry) {
    return std::max(entry.second.requestedAt, entry.second.lastUsefulAt) < oldest;
  });
}

}  // namespace corkward::dataplane
