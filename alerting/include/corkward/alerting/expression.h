#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::alerting {

/// A rule file, expression or metrics page that is not fully understood; the message gives line and column. Nothing of
/// it is used.
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

/// How the values of several samples become one; none: each is compared by itself.
enum class Aggregation { none, sum, min, max, count };

enum class Comparison { less, lessOrEqual, equal, notEqual, greaterOrEqual, greater };

/// The comparison as expressions write it.
char const* name(Comparison comparison);

/// The supported subset of PromQL: [sum|min|max|count] (metric{label="value",...}) COMPARISON number.
struct Expression {
  Aggregation aggregation = Aggregation::none;
  std::string metric;
  /// Labels that a sample must have with these values.
  Labels labels;
  Comparison comparison = Comparison::equal;
  double bound = 0;
};

/// Reads an expression. Throws ParseError with the column.
Expression readExpression(std::string const& text);

/// Reads a page in the Prometheus text format. Throws ParseError.
std::vector<Sample> readSamples(std::string const& page);

/// Whether the expression is true for the samples; without an aggregation: for any of them. For a metric that is absent
/// only a count can be true.
bool isTrue(Expression const& expression, std::vector<Sample> const& samples);

}  // namespace corkward::alerting
