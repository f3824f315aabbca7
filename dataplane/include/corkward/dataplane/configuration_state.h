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

/// The configuration entries in force on one router, by key, and what of others' configurations they cover.
class ConfigurationState {
 public:
  /// Revision in force; 0: none.
  std::uint64_t revisionOf(std::string const& key) const;
  bool has(std::string const& key) const { return entries_.count(key) > 0; }
  /// Value in force; empty when there is none.
  QJsonObject value(std::string const& key) const;
  std::optional<transport::CommittedEntry> entry(std::string const& key) const;

  /// Puts an entry in force, which must be newer than the one before.
  void set(transport::CommittedEntry const& entry);
  /// An update was applied whole: the digest now is one that this router has had.
  void recordDigest();

  transport::Revisions revisions() const;
  transport::Digest const& digest() const { return digest_; }
  /// Every entry that the other has, by its digest or its revisions, is in force here or was replaced by a newer one.
  bool covers(transport::Digest const& digest, transport::Revisions const& revisions) const;
  std::vector<transport::CommittedEntry> all() const;
  /// Entries that the other lacks or has in an older revision.
  std::vector<transport::CommittedEntry> missingFrom(transport::Revisions const& other) const;

 private:
  struct Value {
    std::uint64_t revision = 0;
    QJsonObject value;
  };

  /// Revisions of a key rise.
  std::map<std::string, Value> entries_;
  /// Digest of the keys and revisions of entries_.
  transport::Digest digest_;
  /// Digests after each update since the start, newest last; bounded.
  std::deque<transport::Digest> digestHistory_;
};

}  // namespace corkward::dataplane
