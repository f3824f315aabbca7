#include "fingerprint.h"

#include <algorithm>

namespace corkward::consensus {

void Fingerprint::add(std::uint64_t value) {
  hash_ ^= value + 0x9E3779B97F4A7C15ULL + (hash_ << 6) + (hash_ >> 2);
  hash_ *= 0xFF51AFD7ED558CCDULL;
  hash_ ^= hash_ >> 33;
}

void Fingerprint::add(std::string const& text) {
  add(core::stableHash(text));
}

void Fingerprint::add(QJsonObject const& value) {
  add(static_cast<std::uint64_t>(qHash(value, std::size_t{0})));
}

void Fingerprint::add(Ballot const& ballot) {
  add(ballot.number);
  add(ballot.member);
}

void Fingerprint::add(transport::Digest const& digest) {
  add(digest.sum);
  add(digest.count);
}

void Fingerprint::add(transport::Revisions const& revisions) {
  add(revisions.size());
  for (auto const& [key, revision] : revisions) {
    add(key);
    add(revision);
  }
}

void Fingerprint::add(std::set<std::string> const& names) {
  add(names.size());
  for (auto const& name : names) add(name);
}

void Fingerprint::addTime(Milliseconds time) {
  add(static_cast<std::uint64_t>(std::clamp(now_ - time, -cap_, cap_) + cap_));
}

}  // namespace corkward::consensus
