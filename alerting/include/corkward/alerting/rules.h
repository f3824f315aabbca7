#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/alerting/expression.h>
#include <corkward/core/types.h>

namespace corkward::alerting {

/// An alert rule with the runbook that operators assigned to it.
struct Rule {
  std::string alert;
  Expression expression;
  /// Time in milliseconds for which the expression must be true without interruption before the alert fires.
  core::Milliseconds pendingFor = 0;
  /// File name of the runbook.
  std::string runbook;
  /// Values of the runbook's parameters.
  std::map<std::string, std::string> parameters;
};

/// Reads a rule file in the Prometheus format. Throws ParseError at the first field or value that is invalid or not
/// supported.
std::vector<Rule> readRules(std::string const& yaml);

/// Evaluates rules over time. An alert is pending from the moment its expression becomes true, and fires when the
/// expression has been true for `Rule::pendingFor` without interruption.
class RuleEvaluator {
 public:
  explicit RuleEvaluator(std::vector<Rule> rules) : rules_(std::move(rules)) {}
  /// Evaluates all rules for the newest samples.
  /// @param now monotonic milliseconds
  /// @return the rules whose alerts fire
  std::vector<Rule> evaluate(core::Milliseconds now, std::vector<Sample> const& samples);
  /// Whether the alert's expression was true at the last evaluation.
  bool isPendingOrFiring(std::string const& alert) const;

 private:
  std::vector<Rule> rules_;
  /// For each alert whose expression is true: the time since which it has been true without interruption.
  std::map<std::string, core::Milliseconds> trueSince_;
};

}  // namespace corkward::alerting
