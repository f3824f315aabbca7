#pragma once

/// Hash of a member's state. The explorer uses it to recognise states that it has visited.

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>

#include <corkward/consensus/types.h>

namespace corkward::consensus {

/// Running hash of a sequence of values.
class Fingerprint {
 public:
  /// @param cap durations longer than this are hashed as equal
  Fingerprint(Milliseconds now, Milliseconds cap) : now_(now), cap_(cap) {}

  void add(std::uint64_t value);
  void addFlag(bool flag) { add(flag ? 1U : 0U); }
  void add(std::string const& text);
  void add(QJsonObject const& value);
  void add(Ballot const& ballot);
  void add(transport::Digest const& digest);
  void add(transport::Revisions const& revisions);
  void add(std::set<std::string> const& names);
  /// Adds a point in time as its signed distance from now(), limited to the cap.
  void addTime(Milliseconds time);
  std::uint64_t value() const { return hash_; }
  Milliseconds now() const { return now_; }

 private:
  std::uint64_t hash_ = 0x243F6A8885A308D3ULL;
  Milliseconds now_;
  Milliseconds cap_;
};

}  // namespace corkward::consensus
