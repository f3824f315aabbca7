#include <algorithm>

#include <corkward/core/guarantees.h>
#include <corkward/dataplane/configuration_state.h>

namespace corkward::dataplane {

namespace {

/// Most digests in the history.
constexpr std::size_t maxDigests = 64;

}  // namespace

std::uint64_t ConfigurationState::revisionOf(std::string const& key) const {
  auto const found = entries_.find(key);
  return found == entries_.end() ? 0 : found->second.revision;
}

QJsonObject ConfigurationState::value(std::string const& key) const {
  auto const found = entries_.find(key);
  return found == entries_.end() ? QJsonObject() : found->second.value;
}

std::optional<transport::CommittedEntry> ConfigurationState::entry(std::string const& key) const {
  auto const found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  return transport::CommittedEntry{key, found->second.revision, found->second.value};
}

void ConfigurationState::set(transport::CommittedEntry const& entry) {
  std::uint64_t const before = revisionOf(entry.key);
  CORKWARD_GUARANTEE(core::Guarantee::revisionsRise, entry.revision > before,
                     entry.key + " falls to revision " + std::to_string(entry.revision));
  entries_[entry.key] = Value{entry.revision, entry.value};
  digest_.replace(entry.key, before, entry.revision);
}

void ConfigurationState::recordDigest() {
  digestHistory_.push_back(digest_);
  if (digestHistory_.size() > maxDigests) digestHistory_.pop_front();
}

transport::Revisions ConfigurationState::revisions() const {
  transport::Revisions revisions;
  for (auto const& [key, value] : entries_) revisions[key] = value.revision;
  return revisions;
}

bool ConfigurationState::covers(transport::Digest const& digest, transport::Revisions const& revisions) const {
  if (std::find(digestHistory_.begin(), digestHistory_.end(), digest) != digestHistory_.end()) return true;
  return transport::digestOf(revisions) == digest &&
         std::all_of(revisions.begin(), revisions.end(),
                     [&](auto const& other) { return revisionOf(other.first) >= other.second; });
}

std::vector<transport::CommittedEntry> ConfigurationState::all() const {
  return missingFrom({});
}

std::vector<transport::CommittedEntry> ConfigurationState::missingFrom(transport::Revisions const& other) const {
  std::vector<transport::CommittedEntry> missing;
  for (auto const& [key, value] : entries_) {
    auto const known = other.find(key);
    if (known == other.end() || known->second < value.revision)
      missing.push_back(transport::CommittedEntry{key, value.revision, value.value});
  }
  return missing;
}

}  // namespace corkward::dataplane
