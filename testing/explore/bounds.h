#pragma once

namespace corkward::explore {

/// How much of each a trace may have.
struct Bounds {
  int members = 3;
  /// Changes by callers.
  int changes = 2;
  int reads = 1;
  /// Elections that nothing but chance brought about.
  int elections = 1;
  /// Clock events of single members.
  int clocks = 0;
  /// Crashes, wiped disks, slow or unfinished writes, messages delivered twice; in the membership's model each loss,
  /// return, cut and newcomer.
  int faults = 1;
};

}  // namespace corkward::explore
