#include <corkward/alerting/rules.h>

#include <yaml-cpp/yaml.h>

#include <cctype>
#include <set>
#include <utility>

namespace corkward::alerting {

namespace {

constexpr core::Milliseconds millisPerSecond = 1000;
constexpr core::Milliseconds millisPerMinute = 60000;
constexpr std::size_t maxDurationDigits = 6;

/// Returns the position of a YAML node in the file, as the beginning of an error message.
std::string positionOf(YAML::Node const& node) {
  return "line " + std::to_string(node.Mark().line + 1) + ", column " + std::to_string(node.Mark().column + 1) + ": ";
}

void checkKeys(YAML::Node const& node, std::set<std::string> const& allowed) {
  if (!node.IsMap()) throw ParseError(positionOf(node) + "must be a mapping");
  for (auto const& entry : node) {
    auto const key = entry.first.as<std::string>();
    if (allowed.count(key) == 0) throw ParseError(positionOf(entry.first) + "unknown field " + key);
  }
}

std::string requiredText(YAML::Node const& node, char const* key) {
  YAML::Node const value = node[key];
  if (!value) throw ParseError(positionOf(node) + key + " is missing");
  if (!value.IsScalar() || value.Scalar().empty()) throw ParseError(positionOf(value) + key + " must be a text");
  return value.Scalar();
}

/// Reads a duration in seconds ("10s") or minutes ("5m"). Returns milliseconds.
core::Milliseconds readDuration(YAML::Node const& node) {
  std::string const text = node.IsScalar() ? node.Scalar() : "";
  std::size_t digits = 0;
  while (digits < text.size() && digits < maxDurationDigits &&
         std::isdigit(static_cast<unsigned char>(text[digits])) != 0)
    ++digits;
  std::string const unit = text.substr(digits);
  if (digits == 0 || (unit != "s" && unit != "m"))
    throw ParseError(positionOf(node) + "for must be a number of s or m");
  return std::stoll(text.substr(0, digits)) * (unit == "m" ? millisPerMinute : millisPerSecond);
}

Expression readRuleExpression(YAML::Node const& rule) {
  try {
    return readExpression(requiredText(rule, "expr"));
  } catch (ParseError const& error) {
    throw ParseError(rule["expr"] ? positionOf(rule["expr"]) + error.what() : error.what());
  }
}

/// Reads the annotations, which name the runbook and its parameters.
void readAnnotations(YAML::Node const& node, Rule& rule) {
  YAML::Node const annotations = node["annotations"];
  if (!annotations) throw ParseError(positionOf(node) + "annotations is missing: it names the runbook");
  checkKeys(annotations, {"runbook", "parameters", "summary"});
  rule.runbook = requiredText(annotations, "runbook");
  YAML::Node const parameters = annotations["parameters"];
  if (!parameters) return;
  if (!parameters.IsMap()) throw ParseError(positionOf(parameters) + "parameters must be a mapping");
  for (auto const& entry : parameters) rule.parameters[entry.first.as<std::string>()] = entry.second.as<std::string>();
}

/// @param names names of the rules read so far, to which the name of this rule is added
Rule readRule(YAML::Node const& node, std::set<std::string>& names) {
  checkKeys(node, {"alert", "expr", "for", "annotations"});
  Rule rule;
  rule.alert = requiredText(node, "alert");
  if (!names.insert(rule.alert).second)
    throw ParseError(positionOf(node["alert"]) + "alert " + rule.alert + " stands twice");
  rule.expression = readRuleExpression(node);
  if (node["for"]) rule.pendingFor = readDuration(node["for"]);
  readAnnotations(node, rule);
  return rule;
}

std::vector<Rule> readGroups(YAML::Node const& root) {
  checkKeys(root, {"groups"});
  YAML::Node const groups = root["groups"];
  if (!groups || !groups.IsSequence()) throw ParseError(positionOf(root) + "groups must be a list");
  std::vector<Rule> out;
  std::set<std::string> names;
  for (YAML::Node const& group : groups) {
    checkKeys(group, {"name", "rules"});
    requiredText(group, "name");
    if (!group["rules"] || !group["rules"].IsSequence()) throw ParseError(positionOf(group) + "rules must be a list");
    for (YAML::Node const& rule : group["rules"]) out.push_back(readRule(rule, names));
  }
  return out;
}

}  // namespace

std::vector<Rule> readRules(std::string const& yaml) {
  try {
    return readGroups(YAML::Load(yaml));
  } catch (YAML::Exception const& error) {
    throw ParseError(error.what());
  }
}

bool RuleEvaluator::isPendingOrFiring(std::string const& alert) const {
  return trueSince_.count(alert) > 0;
}

std::vector<Rule> RuleEvaluator::evaluate(core::Milliseconds now, std::vector<Sample> const& samples) {
  std::vector<Rule> firing;
  for (Rule const& rule : rules_) {
    if (!isTrue(rule.expression, samples)) {
      trueSince_.erase(rule.alert);
      continue;
    }
    core::Milliseconds const since = trueSince_.try_emplace(rule.alert, now).first->second;
    if (now - since >= rule.pendingFor) firing.push_back(rule);
  }
  return firing;
}

}  // namespace corkward::alerting
