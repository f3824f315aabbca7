#include <corkward/dataplane/roster.h>

namespace corkward::dataplane {

void Roster::load(Milliseconds now, std::uint64_t revision, std::vector<transport::Contact> const& contacts,
                  bool onPrevious) {
  joining_ = !hasJoined() && !onPrevious;
  revision_ = revision;
  size_ = contacts.size();
  loadedAt_ = now;
  includesSelf_ = false;
  others_.clear();
  zones_.clear();
  for (transport::Contact const& contact : contacts) {
    zones_[contact.link] = contact.zone;
    if (contact.link == self_)
      includesSelf_ = true;
    else
      others_.push_back(contact.link);
  }
}

void Roster::onTimer(Milliseconds now, Milliseconds joinTimeout) {
  if (joining_ && includesSelf_ && now - loadedAt_ >= joinTimeout) joining_ = false;
}

void Roster::onRolloutComplete(std::uint64_t revision) {
  if (revision > 0 && revision >= revision_) joining_ = false;
}

}  // namespace corkward::dataplane
