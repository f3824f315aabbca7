#include <corkward/alerting/rules.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>
#include <set>
#include <sstream>

namespace corkward::alerting {

namespace {

struct FoldRow {
  char const* name;
  Expression::Fold fold;
};

constexpr std::array<FoldRow, 4> folds{{{"sum", Expression::Fold::sum},
                                        {"min", Expression::Fold::min},
                                        {"max", Expression::Fold::max},
                                        {"count", Expression::Fold::count}}};
constexpr std::array<char const*, 6> ops{"<=", ">=", "==", "!=", "<", ">"};

/// Reads words of one line from the left; every fault names its column.
class Reader {
 public:
  explicit Reader(std::string const& text) : text_(text) {}
  void space() {
    while (at_ < text_.size() && (text_[at_] == ' ' || text_[at_] == '\t')) ++at_;
  }
  bool end() {
    space();
    return at_ == text_.size();
  }
  bool take(std::string const& word) {
    space();
    if (text_.compare(at_, word.size(), word) != 0) return false;
    at_ += word.size();
    return true;
  }
  std::string name() {
    space();
    std::size_t const from = at_;
    while (at_ < text_.size() &&
           (std::isalnum(static_cast<unsigned char>(text_[at_])) != 0 || text_[at_] == '_' || text_[at_] == ':'))
      ++at_;
    if (from == at_ || std::isdigit(static_cast<unsigned char>(text_[from])) != 0) wrong("a name is needed");
    return text_.substr(from, at_ - from);
  }
  std::string quoted() {
    if (!take("\"")) wrong("a quoted text is needed");
    std::string out;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\' && at_ + 1 < text_.size()) ++at_;
      out += text_[at_++];
    }
    if (!take("\"")) wrong("the quoted text has no end");
    return out;
  }
  double number() {
    space();
    char* stop = nullptr;
    double const v = std::strtod(text_.c_str() + at_, &stop);
    if (stop == text_.c_str() + at_) wrong("a number is needed");
    at_ = static_cast<std::size_t>(stop - text_.c_str());
    return v;
  }
  Labels labels() {
    Labels out;
    if (!take("{")) return out;
    while (!take("}")) {
      std::string const key = name();
      if (!take("=")) wrong("= is needed");
      if (!out.emplace(key, quoted()).second) wrong("the label stands twice");
      if (!take(",") && text_.compare(at_, 1, "}") != 0) wrong(", or } is needed");
    }
    return out;
  }
  [[noreturn]] void wrong(std::string const& what) const {
    throw Error("column " + std::to_string(at_ + 1) + ": " + what + " in: " + text_);
  }

 private:
  std::string const& text_;
  std::size_t at_ = 0;
};

std::string place(YAML::Node const& n) {
  return "line " + std::to_string(n.Mark().line + 1) + ", column " + std::to_string(n.Mark().column + 1) + ": ";
}

void onlyKeys(YAML::Node const& n, std::set<std::string> const& allowed) {
  if (!n.IsMap()) throw Error(place(n) + "must be a mapping");
  for (YAML::const_iterator it = n.begin(); it != n.end(); ++it)
    if (allowed.count(it->first.as<std::string>()) == 0)
      throw Error(place(it->first) + "unknown field " + it->first.as<std::string>());
}

std::string textAt(YAML::Node const& n, char const* key) {
  YAML::Node const v = n[key];
  if (!v) throw Error(place(n) + key + " is missing");
  if (!v.IsScalar() || v.Scalar().empty()) throw Error(place(v) + key + " must be a text");
  return v.Scalar();
}

Tick duration(YAML::Node const& v) {
  std::string const text = v.IsScalar() ? v.Scalar() : "";
  std::size_t digits = 0;
  while (digits < text.size() && digits < 6 && std::isdigit(static_cast<unsigned char>(text[digits])) != 0) ++digits;
  std::string const unit = text.substr(digits);
  if (digits == 0 || (unit != "s" && unit != "m")) throw Error(place(v) + "for must be a number of s or m");
  return std::stoll(text.substr(0, digits)) * (unit == "m" ? 60000 : 1000);
}

bool compare(std::string const& op, double a, double b) {
  if (op == "<") return a < b;
  if (op == ">") return a > b;
  if (op == "<=") return a <= b;
  if (op == ">=") return a >= b;
  return op == "==" ? a == b : a != b;
}

}  // namespace

Expression readExpression(std::string const& text) {
  Reader in(text);
  Expression out;
  std::string word = in.name();
  for (FoldRow const& f : folds)
    if (word == f.name) out.fold = f.fold;
  if (out.fold != Expression::Fold::none) {
    if (!in.take("(")) in.wrong("( is needed");
    word = in.name();
  }
  out.metric = word;
  out.labels = in.labels();
  if (out.fold != Expression::Fold::none && !in.take(")")) in.wrong(") is needed");
  for (char const* op : ops)
    if (out.op.empty() && in.take(op)) out.op = op;
  if (out.op.empty()) in.wrong("a comparison is needed");
  out.bound = in.number();
  if (!in.end()) in.wrong("this is not understood");
  return out;
}

std::vector<Rule> readRules(std::string const& yaml) {
  std::vector<Rule> out;
  std::set<std::string> names;
  try {
    YAML::Node const root = YAML::Load(yaml);
    onlyKeys(root, {"groups"});
    YAML::Node const groups = root["groups"];
    if (!groups || !groups.IsSequence()) throw Error(place(root) + "groups must be a list");
    for (YAML::Node const& group : groups) {
      onlyKeys(group, {"name", "rules"});
      textAt(group, "name");
      if (!group["rules"] || !group["rules"].IsSequence()) throw Error(place(group) + "rules must be a list");
      for (YAML::Node const& r : group["rules"]) {
        onlyKeys(r, {"alert", "expr", "for", "annotations"});
        Rule rule;
        rule.alert = textAt(r, "alert");
        if (!names.insert(rule.alert).second) throw Error(place(r["alert"]) + "alert " + rule.alert + " stands twice");
        try {
          rule.expr = readExpression(textAt(r, "expr"));
        } catch (Error const& e) {
          throw Error(r["expr"] ? place(r["expr"]) + e.what() : e.what());
        }
        if (r["for"]) rule.holdFor = duration(r["for"]);
        YAML::Node const logEvents = r["annotations"];
        if (!logEvents) throw Error(place(r) + "annotations is missing: it names the runbook");
        onlyKeys(logEvents, {"runbook", "parameters", "summary"});
        rule.runbook = textAt(logEvents, "runbook");
        if (logEvents["parameters"]) {
          if (!logEvents["parameters"].IsMap())
            throw Error(place(logEvents["parameters"]) + "parameters must be a mapping");
          for (YAML::const_iterator it = logEvents["parameters"].begin(); it != logEvents["parameters"].end(); ++it)
            rule.parameters[it->first.as<std::string>()] = it->second.as<std::string>();
        }
        out.push_back(std::move(rule));
      }
    }
  } catch (YAML::Exception const& e) {
    throw Error(e.what());
  }
  return out;
}

std::vector<Sample> readSamples(std::string const& page) {
  std::vector<Sample> out;
  std::istringstream in(page);
  std::string line;
  while (std::getline(in, line)) {
    if (line.empty() || line[0] == '#') continue;
    Reader r(line);
    Sample s;
    s.metric = r.name();
    s.labels = r.labels();
    s.value = r.number();
    if (!r.end()) r.wrong("this is not understood");
    out.push_back(std::move(s));
  }
  return out;
}

bool holds(Expression const& expr, std::vector<Sample> const& samples) {
  std::vector<double> values;
  for (Sample const& s : samples) {
    bool const fits = s.metric == expr.metric &&
                      std::all_of(expr.labels.begin(), expr.labels.end(), [&](Labels::value_type const& l) {
                        Labels::const_iterator const it = s.labels.find(l.first);
                        return it != s.labels.end() && it->second == l.second;
                      });
    if (fits) values.push_back(s.value);
  }
  if (expr.fold == Expression::Fold::count) return compare(expr.op, static_cast<double>(values.size()), expr.bound);
  if (values.empty()) return false;
  if (expr.fold == Expression::Fold::none)
    return std::any_of(values.begin(), values.end(), [&](double v) { return compare(expr.op, v, expr.bound); });
  double sum = 0;
  for (double const v : values) sum += v;
  double const folded = expr.fold == Expression::Fold::sum   ? sum
                        : expr.fold == Expression::Fold::min ? *std::min_element(values.begin(), values.end())
                                                             : *std::max_element(values.begin(), values.end());
  return compare(expr.op, folded, expr.bound);
}

bool Watch::rising(std::string const& alert) const {
  std::map<std::string, State>::const_iterator const it = states_.find(alert);
  return it != states_.end() && it->second.since >= 0;
}

std::vector<Rule> Watch::look(Tick now, std::vector<Sample> const& samples) {
  std::vector<Rule> out;
  for (Rule const& rule : rules_) {
    State& s = states_[rule.alert];
    if (!holds(rule.expr, samples)) {
      s = State{};
      continue;
    }
    if (s.since < 0) s.since = now;
    if (now - s.since >= rule.holdFor) out.push_back(rule);
  }
  return out;
}

}  // namespace corkward::alerting
