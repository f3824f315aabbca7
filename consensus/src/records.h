#pragma once

/// Records that a member keeps on its disk. Their keys and JSON fields stay as they are: disks of earlier releases have
/// them.

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "acceptor.h"

namespace corkward::consensus::records {

/// Key and text of one record.
struct Record {
  std::string key;
  std::string payload;
};

/// Identity and state of this member.
struct Metadata {
  std::string memberId;
  bool voting = false;
  /// Revision of the membership under which the member caught up last.
  std::uint64_t caughtUpRevision = 0;
  /// Link addresses of the founders, until the cluster is bootstrapped.
  std::vector<std::string> founders;
};

/// What an acceptor has promised and accepted. Belongs to the identity that wrote it: after a removal it counts no
/// more.
struct AcceptorState {
  std::string memberId;
  Ballot promised;
  AcceptedPosition position;
  QJsonObject value;
};

/// The membership that this member adopted last.
struct AdoptedMembership {
  std::string memberId;
  Membership membership;
};

using RecordMap = std::map<std::string, std::string>;

Record encode(Metadata const& metadata);
Record encode(std::string const& registerKey, AcceptorState const& state);
Record encode(AdoptedMembership const& adopted);

/// Nothing when the disk has no such record, as at the first start.
std::optional<Metadata> decodeMetadata(RecordMap const& recordMap);
/// States by register key, of every identity.
std::map<std::string, AcceptorState> decodeAcceptors(RecordMap const& recordMap);
/// Revision 0 when the disk has no such record.
AdoptedMembership decodeMembership(RecordMap const& recordMap);

}  // namespace corkward::consensus::records
