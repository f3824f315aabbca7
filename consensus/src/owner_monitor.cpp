#include "owner_monitor.h"

namespace corkward::consensus {

void OwnerMonitor::startUnclaimed(Milliseconds now) {
  lastContactAt_ = now;
  unclaimed_ = true;
}

void OwnerMonitor::ownerAnnounced(std::string const& memberId, Milliseconds now) {
  ownerAccepted(memberId, now);
  electionAt_ = 0;
}

void OwnerMonitor::ownerAccepted(std::string const& memberId, Milliseconds now) {
  unclaimed_ = false;
  lastContactAt_ = now;
  owner_ = memberId;
}

void OwnerMonitor::electionStarted() {
  electionAt_ = 0;
  unclaimed_ = false;
}

void OwnerMonitor::steppedDown(Milliseconds now) {
  lastContactAt_ = now;
  electionAt_ = 0;
}

std::optional<Milliseconds> OwnerMonitor::electionAt() const {
  if (electionAt_ == 0) return std::nullopt;
  return electionAt_;
}

void OwnerMonitor::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(owner_);
  fingerprint.addFlag(unclaimed_);
  fingerprint.addTime(lastContactAt_);
  fingerprint.addTime(electionAt_);
}

}  // namespace corkward::consensus
