#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/alerting/expression.h>
#include <corkward/core/types.h>

namespace corkward::alerting {

/// An alert rule with the runbook that an operator declared for it.
struct Rule {
  std::string alert;
  Expression expression;
  /// Milliseconds for which the expression must be true before the alert fires.
  core::Milliseconds pendingFor = 0;
  /// File name of the runbook.
  std::string runbook;
  /// Values of the runbook's parameters.
  std::map<std::string, std::string> parameters;
};

/// Reads a rule file in the Prometheus format. Throws ParseError at the first thing that is not understood.
std::vector<Rule> readRules(std::string const& yaml);

/// Evaluates rules over time: an alert is pending while its expression is true, and fires when it has been so for long
/// enough.
class RuleEvaluator {
 public:
  explicit RuleEvaluator(std::vector<Rule> rules) : rules_(std::move(rules)) {}
  /// Evaluates all rules for the newest samples.
  /// @param now monotonic milliseconds
  /// @return the rules that fire
  std::vector<Rule> evaluate(core::Milliseconds now, std::vector<Sample> const& samples);
  /// Whether the alert's expression was true at the last evaluation, for however long.
  bool isPendingOrFiring(std::string const& alert) const;

 private:
  std::vector<Rule> rules_;
  /// Since when the expressions of alerts have been true without a break.
  std::map<std::string, core::Milliseconds> trueSince_;
};

}  // namespace corkward::alerting
