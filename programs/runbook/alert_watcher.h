#pragma once

/// The watch over alerts: metrics pages are read, rules are applied, and their runbooks carried out once.

#include <map>
#include <string>
#include <vector>

#include <corkward/alerting/rules.h>
#include <corkward/runbook/runbook.h>

#include "singleton_role_client.h"
#include "runbook_executor.h"

namespace corkward::programs {

/// Path of a runbook that stands in a folder. Throws UsageError for a name that leads out of it.
std::string pathInFolder(std::string const& folder, std::string const& name);

/// Acts only while it has the duty, and only on an alert that it has claimed in the control state, so that after a
/// takeover nobody acts on it a second time.
class AlertWatcher {
 public:
  AlertWatcher(std::vector<std::string> const& controllers, RunbookExecutor& executor,
               std::vector<alerting::Rule> rules, std::string const& folder);

  /// One look at the metrics pages of the targets, ip:port or zone=ip:port.
  void look(std::vector<std::string> const& targets);
  /// Runbooks carried out so far.
  int acted() const { return acted_; }
  void leave() { duty_.release(); }
  /// Renews the duty between two looks.
  void keep() {
    if (had_) duty_.renew();
  }

 private:
  std::string pathOf(alerting::Rule const& r) const;
  /// Puts a state on the revision that was read; the new revision, or -1 when it was not taken.
  qint64 put(alerting::Rule const& r, char const* state, qint64 revision);
  void settle(alerting::Rule const& r, bool holds);

  std::vector<std::string> controllers_;
  RunbookExecutor& executor_;
  std::vector<alerting::Rule> rules_;
  alerting::Watch watch_;
  std::string me_;
  SingletonRoleClient duty_;
  bool had_ = false;
  int acted_ = 0;
  std::map<std::string, runbook::Runbook> books_;
  std::map<std::string, std::string> known_;
};

}  // namespace corkward::programs
