#include "learner.h"

#include <algorithm>

#include <corkward/consensus/events.h>
#include <corkward/core/guarantees.h>
#include "context.h"

namespace corkward::consensus {

namespace {

/// Number of stored digests. With them a member that is a few changes behind is still recognised as having no unknown
/// value.
constexpr std::size_t maxDigestHistory = 64;

}  // namespace

void rejectConflictingValue(EventContext& context, std::string const& key, std::string const& reason) {
  CORKWARD_GUARANTEE(core::Guarantee::oneValuePerRevision, false, key + ": " + reason);
  context.log(events::messageRejected, {{"key", key}, {"reason", reason}});
}

void Learner::learn(EventContext& context, transport::CommittedEntry const& entry) {
  CommittedValue const* const known = find(entry.key);
  if (known != nullptr && known->revision >= entry.revision) {
    if (known->revision == entry.revision && known->value != entry.value)
      rejectConflictingValue(context, entry.key, "two values under one revision");
    return;
  }
  CommittedValue const value{entry.key, entry.revision, entry.value};
  digest_.replace(entry.key, known == nullptr ? 0 : known->revision, entry.revision);
  digestHistory_.push_back(digest_);
  if (digestHistory_.size() > maxDigestHistory) digestHistory_.pop_front();
  committed_[entry.key] = value;
  context.commands.commits.push_back(value);
  if (context.registers.at(entry.key).acceptor().revision() <= entry.revision) unconfirmedSince_.erase(entry.key);
  if (entry.key == membershipKey)
    context.membership.adopt(context, Membership{entry.revision, membersFromJson(entry.value)});
  context.detector.onCommitted(*this);
}

void Learner::noteAccepted(std::string const& key, std::uint64_t revision, Milliseconds now) {
  if (revision > revisionOf(key))
    unconfirmedSince_.emplace(key, now);
  else
    unconfirmedSince_.erase(key);
}

CommittedValue const* Learner::find(std::string const& key) const {
  auto const found = committed_.find(key);
  return found == committed_.end() ? nullptr : &found->second;
}

std::uint64_t Learner::revisionOf(std::string const& key) const {
  CommittedValue const* const known = find(key);
  return known == nullptr ? 0 : known->revision;
}

bool Learner::hasHadDigest(transport::Digest const& digest) const {
  return std::find(digestHistory_.begin(), digestHistory_.end(), digest) != digestHistory_.end();
}

Milliseconds Learner::confirmedUntil(Milliseconds now) const {
  Milliseconds earliest = now;
  for (auto const& [key, since] : unconfirmedSince_) earliest = std::min(earliest, since);
  return earliest;
}

void Learner::addTo(Fingerprint& fingerprint) const {
  for (auto const& digest : digestHistory_) fingerprint.add(digest);
  for (auto const& [key, value] : committed_) {
    fingerprint.add(key);
    fingerprint.add(value.revision);
    fingerprint.add(value.value);
  }
  for (auto const& [key, since] : unconfirmedSince_) {
    fingerprint.add(key);
    fingerprint.addTime(since);
  }
}

}  // namespace corkward::consensus
