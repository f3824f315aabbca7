#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::alerting {

/// Reports a rule file, an expression or a metrics page that is not valid or uses unsupported syntax. The whole input
/// is rejected. For a rule file, the message names line and column. For an expression or a line of a metrics page, the
/// message names the column and quotes the text.
class ParseError : public core::Error {
 public:
  using core::Error::Error;
};

using Labels = std::map<std::string, std::string>;

/// One sample of a scraped metrics page.
struct Sample {
  std::string metric;
  Labels labels;
  double value = 0;
};

/// How the values of several samples are combined into one. With `none`, each sample is compared on its own.
enum class Aggregation { none, sum, min, max, count };

enum class Comparison { less, lessOrEqual, equal, notEqual, greaterOrEqual, greater };

/// Returns the operator of the comparison in expressions, such as "<=".
char const* name(Comparison comparison);

/// The supported subset of PromQL: METRIC{label="value",...} COMPARISON number, where the labels are optional and
/// METRIC{...} may be aggregated: sum(METRIC{...}), and likewise with min, max and count.
struct Expression {
  Aggregation aggregation = Aggregation::none;
  std::string metric;
  /// Labels and values that a sample must have to be selected.
  Labels labels;
  Comparison comparison = Comparison::equal;
  /// The number to compare with.
  double bound = 0;
};

/// Reads an expression. Throws ParseError, which names the column.
Expression readExpression(std::string const& text);

/// Reads a page in the Prometheus text format. Throws ParseError.
std::vector<Sample> readSamples(std::string const& page);

/// Whether the expression is true for the samples. Without an aggregation, it is true if any selected sample meets the
/// comparison. If no sample is selected, only an expression with `count` can be true.
bool isTrue(Expression const& expression, std::vector<Sample> const& samples);

}  // namespace corkward::alerting
