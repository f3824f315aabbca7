#pragma once

namespace corkward::explore {

/// Maximum number of each kind of event in one trace.
struct Bounds {
  int members = 3;
  /// Changes requested by operators.
  int changes = 2;
  int reads = 1;
  /// Elections that start without a timeout.
  int elections = 1;
  /// Timer events of single members.
  int clocks = 0;
  /// In the model of the registers: crashes, wiped disks, slow or unfinished writes, and duplicated messages. In the
  /// model of the membership: kills, restarts, wiped disks, isolations, ends of isolations, and losses of messages.
  int faults = 1;
};

}  // namespace corkward::explore
