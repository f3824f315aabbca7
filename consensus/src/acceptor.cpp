#include "acceptor.h"

#include <utility>

namespace corkward::consensus {

void Acceptor::restore(Ballot const& promised, AcceptedPosition const& position, QJsonObject value) {
  promised_ = promised;
  adoptAccepted(position, std::move(value));
}

bool Acceptor::promise(Ballot const& ballot) {
  if (ballot <= promised_) return false;
  promised_ = ballot;
  return true;
}

void Acceptor::accept(AcceptedPosition const& position, QJsonObject value) {
  promised_ = position.ballot;
  adoptAccepted(position, std::move(value));
}

void Acceptor::adoptAccepted(AcceptedPosition const& position, QJsonObject value) {
  position_ = position;
  value_ = std::move(value);
}

void Acceptor::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(promised_);
  fingerprint.add(position_.ballot);
  fingerprint.add(position_.revision);
  fingerprint.add(value_);
}

}  // namespace corkward::consensus
