#pragma once

/// Records that a member stores on its disk. Their keys and JSON fields must not change, because the disks of earlier
/// releases contain them.

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "acceptor.h"

namespace corkward::consensus::records {

/// The key and the JSON text of one record.
struct Record {
  std::string key;
  std::string payload;
};

/// The identity and state of this member.
struct Metadata {
  std::string memberId;
  bool voting = false;
  /// Revision of the membership under which the member last caught up.
  std::uint64_t caughtUpRevision = 0;
  /// Link addresses of the founders. Empty if this member may not bootstrap a cluster.
  std::vector<std::string> founders;
};

/// The ballot that an acceptor has promised and the value that it has accepted. The state is valid only for the member
/// id that wrote it; after a removal the machine has a new id, and the state is ignored.
struct AcceptorState {
  std::string memberId;
  Ballot promised;
  AcceptedPosition position;
  QJsonObject value;
};

/// The membership that this member last adopted.
struct AdoptedMembership {
  std::string memberId;
  Membership membership;
};

using RecordMap = std::map<std::string, std::string>;

Record encode(Metadata const& metadata);
Record encode(std::string const& registerKey, AcceptorState const& state);
Record encode(AdoptedMembership const& adopted);

/// Returns std::nullopt if the disk has no such record, as at the first start.
std::optional<Metadata> decodeMetadata(RecordMap const& recordMap);
/// Returns the acceptor states by register key, including those that were written under an earlier member id.
std::map<std::string, AcceptorState> decodeAcceptors(RecordMap const& recordMap);
/// Returns a membership of revision 0 if the disk has no such record.
AdoptedMembership decodeMembership(RecordMap const& recordMap);

}  // namespace corkward::consensus::records
