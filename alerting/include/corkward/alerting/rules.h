#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

namespace corkward::alerting {

using core::Tick;

/// A rule file that is not wholly understood; says line and column. No rule of it counts.
class Error : public core::Error {
 public:
  using core::Error::Error;
};

using Labels = std::map<std::string, std::string>;

/// One sample of a scraped page.
struct Sample {
  std::string metric;
  Labels labels;
  double value = 0;
};

/// The subset of expressions: [sum|min|max|count] (metric{label="value",...}) op number.
struct Expression {
  enum class Fold { none, sum, min, max, count };
  Fold fold = Fold::none;
  std::string metric;
  Labels labels;
  std::string op;
  double bound = 0;
};

/// One alert rule with the runbook that an operator declared for it.
struct Rule {
  std::string alert;
  Expression expr;
  Tick holdFor = 0;
  std::string runbook;
  std::map<std::string, std::string> parameters;
};

/// Reads an expression. Throws Error with the column.
Expression readExpression(std::string const& text);

/// Reads a rule file in the Prometheus manner. Throws Error at the first thing that is not understood.
std::vector<Rule> readRules(std::string const& yaml);

/// Reads a page in Prometheus' text form. Throws Error.
std::vector<Sample> readSamples(std::string const& page);

/// Whether the expression holds. With no fold: for any sample. A metric that is absent holds only for count.
bool holds(Expression const& expr, std::vector<Sample> const& samples);

/// Follows which alerts have held long enough.
class Watch {
 public:
  explicit Watch(std::vector<Rule> rules) : rules_(std::move(rules)) {}
  /// One look at all samples; returns the rules that have held for long enough by now.
  std::vector<Rule> look(Tick now, std::vector<Sample> const& samples);
  /// Whether the alert's expression held at the last look, for however long.
  bool rising(std::string const& alert) const;

 private:
  struct State {
    Tick since = -1;
  };
  std::vector<Rule> rules_;
  std::map<std::string, State> states_;
};

}  // namespace corkward::alerting
