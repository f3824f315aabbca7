#include "local_member.h"

#include <algorithm>
#include <utility>

#include "context.h"

namespace corkward::consensus {

LocalMember::LocalMember(Member self, std::vector<std::string> founders)
    : self_(std::move(self)), initialId_(self_.id), founders_(std::move(founders)) {}

void LocalMember::restore(records::Metadata const& metadata) {
  self_.id = metadata.memberId;
  voting_ = metadata.voting;
  if (metadata.founders.empty()) founders_.clear();
  if (founders_.empty()) founders_ = metadata.founders;
}

void LocalMember::assignInitialId(EventContext& context) {
  assignId(context, initialId_);
}

void LocalMember::resetAfterRemoval(EventContext& context) {
  founders_.clear();
  removed_ = false;
  voting_ = false;
  hasNoState_ = true;
  assignId(context, initialId_ + "." + std::to_string(++derivedIds_));
}

void LocalMember::assignId(EventContext& context, std::string id) {
  self_.id = std::move(id);
  idTicket_ = context.persistence.writeMetadata(context, {self_.id, false, 0, founders_});
}

bool LocalMember::isFounder(std::string const& link) const {
  return std::find(founders_.begin(), founders_.end(), link) != founders_.end();
}

void LocalMember::onPersisted(std::uint64_t ticket) {
  if (ticket == idTicket_) idTicket_ = 0;
}

void LocalMember::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(self_.id);
  fingerprint.addFlag(hasNoState_);
  fingerprint.addFlag(voting_);
  fingerprint.addFlag(removed_);
  fingerprint.addFlag(hasDurableId());
}

}  // namespace corkward::consensus
