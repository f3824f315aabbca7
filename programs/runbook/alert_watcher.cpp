#include "alert_watcher.h"

#include <QJsonObject>
#include <algorithm>
#include <cctype>
#include <iostream>
#include <utility>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr int callSeconds = 15;
constexpr int scrapeSeconds = 2;

/// Samples of the metrics pages, with corkward_up for each.
std::vector<alerting::Sample> scrape(std::vector<std::string> const& targets) {
  std::vector<alerting::Sample> samples;
  for (std::string const& t : targets) {
    std::size_t const eq = t.find('=');
    std::string const address = eq == std::string::npos ? t : t.substr(eq + 1);
    alerting::Labels own{{"target", address}};
    if (eq != std::string::npos) own["zone"] = t.substr(0, eq);
    OperatorOutcome const page = callOperator({address}, {"GET", "/metrics", "", "", "", false}, scrapeSeconds);
    bool sound = page.status == 200;
    try {
      if (sound)
        for (alerting::Sample s : alerting::readSamples(page.text.toStdString())) {
          s.labels.insert(own.begin(), own.end());
          samples.push_back(std::move(s));
        }
    } catch (alerting::Error const& e) {
      std::cerr << "corkward-runbook: metrics of " << address << ": " << e.what() << "\n";
      sound = false;
    }
    samples.push_back(alerting::Sample{"corkward_up", own, sound ? 1.0 : 0.0});
  }
  return samples;
}

}  // namespace

std::string pathInFolder(std::string const& folder, std::string const& name) {
  if (name.find('/') != std::string::npos || name.find("..") != std::string::npos)
    throw UsageError("runbook: must be a name without folders: " + name);
  return folder + "/" + name;
}

AlertWatcher::AlertWatcher(std::vector<std::string> const& controllers, RunbookExecutor& executor,
                           std::vector<alerting::Rule> rules, std::string const& folder)
    : controllers_(controllers),
      executor_(executor),
      rules_(rules),
      watch_(std::move(rules)),
      me_(freshName()),
      duty_(controllers, "alert-watch", me_) {
  for (alerting::Rule const& r : rules_)
    books_[r.alert] = runbook::readRunbook(readFile(pathInFolder(folder, r.runbook)), r.parameters);
  executor_.guard([this] { return duty_.renew(); });
}

void AlertWatcher::look(std::vector<std::string> const& targets) {
  std::vector<alerting::Rule> const holding = watch_.look(now(), scrape(targets));
  bool const had = had_;
  had_ = duty_.renew();
  if (had_ != had)
    std::cout << "duty=alert-watch held=" << (had_ ? "yes" : "no") << " epoch=" << duty_.term() << std::endl;
  if (!had_) return;
  if (!had) known_.clear();
  for (alerting::Rule const& r : rules_) {
    bool const holds =
        std::any_of(holding.begin(), holding.end(), [&](alerting::Rule const& h) { return h.alert == r.alert; });
    if (!holds && watch_.rising(r.alert)) continue;
    std::map<std::string, std::string>::const_iterator const known = known_.find(r.alert);
    if (known != known_.end() && known->second == (holds ? "done" : "clear")) continue;
    settle(r, holds);
  }
}

std::string AlertWatcher::pathOf(alerting::Rule const& r) const {
  std::string name;
  for (char const c : r.alert) {
    if (std::isupper(static_cast<unsigned char>(c)) && !name.empty() && name.back() != '-') name += '-';
    name += std::isalnum(static_cast<unsigned char>(c)) ? static_cast<char>(std::tolower(static_cast<unsigned char>(c)))
                                                        : '-';
  }
  return "/v1/alerts/" + name;
}

qint64 AlertWatcher::put(alerting::Rule const& r, char const* state, qint64 revision) {
  QJsonObject const body{{"state", state}, {"by", core::toQString(me_)}};
  OperatorOutcome const out =
      callOperator(controllers_, {"PUT", pathOf(r), core::jsonText(body), std::to_string(revision), freshName(), false},
                   callSeconds);
  bool const taken = out.status == 200 || out.body.value("pending").toBool();
  return taken ? out.body.value("stamp").toInteger() : -1;
}

void AlertWatcher::settle(alerting::Rule const& r, bool holds) {
  OperatorOutcome const seen = callOperator(controllers_, {"GET", pathOf(r), "", "", "", false}, callSeconds);
  if (seen.status != 200) return;
  std::string const state = core::toStdString(seen.body.value("state").toString());
  qint64 revision = seen.body.value("stamp").toInteger();
  known_[r.alert] = state;
  if (!holds) {
    if (state != "clear" && put(r, "clear", revision) >= 0) known_[r.alert] = "clear";
    return;
  }
  if (state == "done") {
    std::cout << "alert=" << r.alert << " state=done" << std::endl;
    return;
  }
  if (state == "clear") revision = put(r, "claimed", revision);
  if (revision < 0) return;
  std::cout << "alert=" << r.alert << " runbook=" << r.runbook << " claim=" << revision << std::endl;
  executor_.carryOut(books_.at(r.alert),
                     "alert-" + pathOf(r).substr(std::string("/v1/alerts/").size()) + "-" + std::to_string(revision));
  ++acted_;
  if (duty_.held() && put(r, "done", revision) >= 0) known_[r.alert] = "done";
}

}  // namespace corkward::programs
