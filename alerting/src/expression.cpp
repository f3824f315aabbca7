#include <corkward/alerting/expression.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <numeric>
#include <optional>
#include <sstream>

namespace corkward::alerting {

namespace {

struct AggregationName {
  char const* name;
  Aggregation aggregation;
};

constexpr std::array<AggregationName, 4> aggregations{
    {{"sum", Aggregation::sum}, {"min", Aggregation::min}, {"max", Aggregation::max}, {"count", Aggregation::count}}};

/// All comparisons in the order in which the parser tries them. A longer operator precedes the operator with which it
/// begins, such as "<=" before "<".
constexpr std::array<Comparison, 6> comparisons{Comparison::lessOrEqual, Comparison::greaterOrEqual,
                                                Comparison::equal,       Comparison::notEqual,
                                                Comparison::less,        Comparison::greater};

bool isNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == ':';
}

/// Reads the tokens of one line from the left; each error names its column.
class LineReader {
 public:
  explicit LineReader(std::string const& text) : text_(text) {}

  bool atEnd() {
    skipSpace();
    return position_ == text_.size();
  }
  /// Consumes the token if the text continues with it. Returns whether it does.
  bool consume(std::string const& token) {
    skipSpace();
    if (text_.compare(position_, token.size(), token) != 0) return false;
    position_ += token.size();
    return true;
  }
  void require(std::string const& token, std::string const& error) {
    if (!consume(token)) fail(error);
  }
  std::string readName() {
    skipSpace();
    std::size_t const start = position_;
    while (position_ < text_.size() && isNameCharacter(text_[position_])) ++position_;
    if (start == position_ || std::isdigit(static_cast<unsigned char>(text_[start])) != 0) fail("a name is needed");
    return text_.substr(start, position_ - start);
  }
  std::string readQuoted() {
    require("\"", "a quoted text is needed");
    std::string out;
    while (position_ < text_.size() && text_[position_] != '"') {
      bool const isEscape = text_[position_] == '\\' && position_ + 1 < text_.size();
      if (isEscape) ++position_;
      out += text_[position_++];
    }
    require("\"", "the quoted text has no end");
    return out;
  }
  double readNumber() {
    skipSpace();
    char const* const start = text_.c_str() + position_;
    char* end = nullptr;
    double const value = std::strtod(start, &end);
    if (end == start) fail("a number is needed");
    position_ += static_cast<std::size_t>(end - start);
    return value;
  }
  Labels readLabels() {
    Labels out;
    if (!consume("{")) return out;
    while (!consume("}")) {
      std::string const label = readName();
      require("=", "= is needed");
      if (!out.emplace(label, readQuoted()).second) fail("the label stands twice");
      if (!consume(",") && text_.compare(position_, 1, "}") != 0) fail(", or } is needed");
    }
    return out;
  }
  [[noreturn]] void fail(std::string const& error) const {
    throw ParseError("column " + std::to_string(position_ + 1) + ": " + error + " in: " + text_);
  }

 private:
  void skipSpace() {
    while (position_ < text_.size() && (text_[position_] == ' ' || text_[position_] == '\t')) ++position_;
  }

  std::string const& text_;
  std::size_t position_ = 0;
};

Aggregation aggregationNamed(std::string const& text) {
  auto const found = std::find_if(aggregations.begin(), aggregations.end(),
                                  [&](AggregationName const& entry) { return text == entry.name; });
  return found == aggregations.end() ? Aggregation::none : found->aggregation;
}

Comparison readComparison(LineReader& reader) {
  for (Comparison const comparison : comparisons)
    if (reader.consume(name(comparison))) return comparison;
  reader.fail("a comparison is needed");
}

bool compare(Comparison comparison, double left, double right) {
  switch (comparison) {
    case Comparison::less:
      return left < right;
    case Comparison::lessOrEqual:
      return left <= right;
    case Comparison::equal:
      return left == right;
    case Comparison::notEqual:
      return left != right;
    case Comparison::greaterOrEqual:
      return left >= right;
    case Comparison::greater:
      return left > right;
  }
  return false;
}

bool matches(Expression const& expression, Sample const& sample) {
  return sample.metric == expression.metric &&
         std::all_of(expression.labels.begin(), expression.labels.end(), [&](auto const& label) {
           auto const found = sample.labels.find(label.first);
           return found != sample.labels.end() && found->second == label.second;
         });
}

/// Returns the aggregated value. Returns std::nullopt if there are no values, except for a count, which is 0 then.
std::optional<double> aggregate(Aggregation aggregation, std::vector<double> const& values) {
  if (aggregation == Aggregation::count) return static_cast<double>(values.size());
  if (values.empty()) return std::nullopt;
  switch (aggregation) {
    case Aggregation::sum:
      return std::accumulate(values.begin(), values.end(), 0.0);
    case Aggregation::min:
      return *std::min_element(values.begin(), values.end());
    case Aggregation::max:
      return *std::max_element(values.begin(), values.end());
    case Aggregation::none:
    case Aggregation::count:
      break;
  }
  return std::nullopt;
}

}  // namespace

char const* name(Comparison comparison) {
  switch (comparison) {
    case Comparison::less:
      return "<";
    case Comparison::lessOrEqual:
      return "<=";
    case Comparison::equal:
      return "==";
    case Comparison::notEqual:
      return "!=";
    case Comparison::greaterOrEqual:
      return ">=";
    case Comparison::greater:
      return ">";
  }
  return "";
}

Expression readExpression(std::string const& text) {
  LineReader reader(text);
  Expression out;
  out.metric = reader.readName();
  out.aggregation = aggregationNamed(out.metric);
  bool const aggregates = out.aggregation != Aggregation::none;
  if (aggregates) {
    reader.require("(", "( is needed");
    out.metric = reader.readName();
  }
  out.labels = reader.readLabels();
  if (aggregates) reader.require(")", ") is needed");
  out.comparison = readComparison(reader);
  out.bound = reader.readNumber();
  if (!reader.atEnd()) reader.fail("this is not understood");
  return out;
}

std::vector<Sample> readSamples(std::string const& page) {
  std::vector<Sample> out;
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty() || line[0] == '#') continue;
    LineReader reader(line);
    Sample sample;
    sample.metric = reader.readName();
    sample.labels = reader.readLabels();
    sample.value = reader.readNumber();
    if (!reader.atEnd()) reader.fail("this is not understood");
    out.push_back(std::move(sample));
  }
  return out;
}

bool isTrue(Expression const& expression, std::vector<Sample> const& samples) {
  std::vector<double> values;
  for (Sample const& sample : samples)
    if (matches(expression, sample)) values.push_back(sample.value);
  auto const satisfies = [&](double value) { return compare(expression.comparison, value, expression.bound); };
  if (expression.aggregation == Aggregation::none) return std::any_of(values.begin(), values.end(), satisfies);
  std::optional<double> const value = aggregate(expression.aggregation, values);
  return value && satisfies(*value);
}

}  // namespace corkward::alerting
