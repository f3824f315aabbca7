#include <algorithm>

#include <corkward/dataplane/controller_links.h>

namespace corkward::dataplane {

void ControllerLinks::choose(Milliseconds now, std::vector<Candidate> const& known, RouterTuning const& tuning) {
  Milliseconds const replyTimeout = 2 * tuning.leaseRequestInterval + tuning.leaseRequestInterval / 2;
  detectTimeouts(now, replyTimeout);
  std::map<Rank, std::string> const ranked = rank(now, known, tuning.unresponsivePeerTimeout);
  chosen_.clear();
  std::size_t responsive = 0;
  for (auto const& [order, name] : ranked) {
    if (responsive >= tuning.controllerLinkCount || chosen_.size() >= tuning.maxControllerLinks) break;
    Link const& link = links_.at(name);
    responsive += link.lastUsefulAt >= 0 && now - link.lastUsefulAt <= replyTimeout ? 1 : 0;
    chosen_.push_back(name);
  }
}

void ControllerLinks::detectTimeouts(Milliseconds now, Milliseconds replyTimeout) {
  for (std::string const& name : chosen_) {
    Link& link = links_[name];
    if (link.firstUnansweredAt < 0 || now - link.firstUnansweredAt <= replyTimeout) continue;
    link.timedOutAt = now;
    link.firstUnansweredAt = -1;
  }
}

std::map<ControllerLinks::Rank, std::string> ControllerLinks::rank(Milliseconds now,
                                                                   std::vector<Candidate> const& known,
                                                                   Milliseconds unresponsiveTimeout) {
  std::map<Rank, std::string> ranked;
  for (Candidate const& candidate : known) {
    Link const& link = links_[candidate.link];
    bool const unresponsive = link.timedOutAt >= 0 && now - link.timedOutAt < unresponsiveTimeout;
    ranked[{unresponsive ? link.timedOutAt : 0, !candidate.sameZone, candidate.hash}] = candidate.link;
  }
  return ranked;
}

bool ControllerLinks::onRequest(Milliseconds now, std::string const& link) {
  Link& controller = links_[link];
  controller.requestedAt = now;
  if (controller.firstUnansweredAt < 0) controller.firstUnansweredAt = now;
  if (!controller.revisionsWanted) return false;
  controller.revisionsWanted = false;
  controller.revisionsSentAt = now;
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
