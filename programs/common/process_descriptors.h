#pragma once

#include <QTimer>
#include <cstdint>
#include <string>

namespace corkward::programs {

/// Sets the limit of open descriptors to what the settings state, or else as high as the system allows, and logs what
/// is in force. Everything in the process that depends on the limit asks the system for it.
/// @param stated number of descriptors that the settings state; 0 if they state none
void setProcessDescriptors(std::uint64_t stated);

/// Keeps the limit of open descriptors above the number of those that are open, while the event loop runs. Another
/// process may lower the limit at any time (prlimit(2)).
class DescriptorLimitGuard {
 public:
  DescriptorLimitGuard();

 private:
  void check();

  /// The limit at the last check.
  std::uint64_t inForce_;
  QTimer timer_;
};

/// Returns the limit in the Prometheus text format.
std::string descriptorMetrics();

}  // namespace corkward::programs
