#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <QJsonObject>

#include <corkward/transport/message.h>

namespace corkward::dataplane {

/// The configuration entries in effect on one router, by key. Also decides whether they cover what another process has
/// in effect.
class ConfigurationState {
 public:
  /// Revision in effect for the key. 0 if the key has no entry.
  std::uint64_t revisionOf(std::string const& key) const;
  bool has(std::string const& key) const { return entries_.count(key) > 0; }
  /// Value in effect for the key. Empty if the key has no entry.
  QJsonObject value(std::string const& key) const;
  std::optional<transport::CommittedEntry> entry(std::string const& key) const;

  /// Puts an entry into effect. Its revision must be higher than that of the key's current entry.
  void set(transport::CommittedEntry const& entry);
  /// Adds the current digest to the history. Call after all entries of an update were applied.
  void recordDigest();

  transport::Revisions revisions() const;
  transport::Digest const& digest() const { return digest_; }
  /// Returns true if each entry of another process is in effect here or was replaced by a newer entry. The other's
  /// digest suffices if it is in this router's history; otherwise its revisions are compared, and count only if they
  /// match its digest.
  bool covers(transport::Digest const& digest, transport::Revisions const& revisions) const;
  std::vector<transport::CommittedEntry> all() const;
  /// Entries that the other process lacks or has in an older revision.
  std::vector<transport::CommittedEntry> missingFrom(transport::Revisions const& other) const;

 private:
  struct Value {
    std::uint64_t revision = 0;
    QJsonObject value;
  };

  /// The revision of a key only increases.
  std::map<std::string, Value> entries_;
  /// Digest of the keys and revisions of entries_.
  transport::Digest digest_;
  /// Digests after each update since the start, newest last. Bounded: the oldest are dropped.
  std::deque<transport::Digest> digestHistory_;
};

}  // namespace corkward::dataplane
