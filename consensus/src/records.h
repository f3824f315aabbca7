#pragma once

#include <QJsonObject>
#include <vector>

#include <corkward/consensus/replicated_registers.h>

namespace corkward::consensus {

/// Record under which a member keeps the membership that it has adopted.
inline constexpr char const* configRecord = "config";

/// Whether a was accepted after b: by ballot, then by revision.
template <class A, class B>
bool newer(A const& a, B const& b) {
  return b.acceptedBallot < a.acceptedBallot || (a.acceptedBallot == b.acceptedBallot && b.revision < a.revision);
}

/// JSON form of a membership value; membersOf is its inverse.
QJsonObject membershipJson(std::vector<Member> const& members);

}  // namespace corkward::consensus
