#include "metrics_scraper.h"

#include <iostream>
#include <optional>

#include "operator_client.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

constexpr int scrapeTimeoutSeconds = 2;

struct Target {
  std::string address;
  alerting::Labels labels;
};

Target parseTarget(std::string const& text) {
  std::size_t const equals = text.find('=');
  bool const hasZone = equals != std::string::npos;
  Target target;
  target.address = hasZone ? text.substr(equals + 1) : text;
  target.labels["target"] = target.address;
  if (hasZone) target.labels["zone"] = text.substr(0, equals);
  return target;
}

/// Returns the samples of a target's metrics, or std::nullopt if these cannot be read.
std::optional<std::vector<alerting::Sample>> scrape(Target const& target) {
  OperatorReply const page =
      callOperator({target.address}, {core::HttpMethod::get, paths::metrics}, scrapeTimeoutSeconds);
  if (!page.is(core::HttpStatus::ok)) return std::nullopt;
  try {
    std::vector<alerting::Sample> samples = alerting::readSamples(page.text.toStdString());
    for (alerting::Sample& sample : samples) sample.labels.insert(target.labels.begin(), target.labels.end());
    return samples;
  } catch (alerting::ParseError const& error) {
    std::cerr << "corkward-runbook: metrics of " << target.address << ": " << error.what() << "\n";
    return std::nullopt;
  }
}

}  // namespace

std::vector<alerting::Sample> scrapeMetrics(std::vector<std::string> const& targets) {
  std::vector<alerting::Sample> out;
  for (std::string const& text : targets) {
    Target const target = parseTarget(text);
    std::optional<std::vector<alerting::Sample>> const samples = scrape(target);
    if (samples) out.insert(out.end(), samples->begin(), samples->end());
    out.push_back(alerting::Sample{"corkward_up", target.labels, samples ? 1.0 : 0.0});
  }
  return out;
}

}  // namespace corkward::programs
