#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QTimer>
#include <boost/program_options.hpp>
#include <cctype>
#include <functional>
#include <iostream>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/alerting/rules.h>
#include <corkward/runbook/runbook.h>

#include "clock.h"
#include "duty.h"
#include "operator_client.h"

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

constexpr int pollMs = 250;
constexpr int callSeconds = 15;

void pause(int ms) {
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

/// What became of one step.
struct Outcome {
  bool ok = false;
  std::string said;
};

/// Carries out checked runbooks, by the operator interface alone.
class Foreman {
 public:
  Foreman(std::vector<std::string> controllers, bool dryRun, bool yes, std::string account)
      : controllers_(std::move(controllers)), dryRun_(dryRun), yes_(yes), account_(std::move(account)) {}

  /// Asked before each step; a false one ends the run.
  void guard(std::function<bool()> may) { may_ = std::move(may); }

  /// True when every step was done. Steps of one run name have the same change ids, so what was done is not done again.
  bool carryOut(runbook::Runbook const& book, std::string const& run = freshName()) {
    logEvent("runbook=" + book.name + " run=" + run + (dryRun_ ? " dry-run=yes" : "") +
             " steps=" + std::to_string(book.steps.size()));
    for (std::size_t i = 0; i < book.steps.size(); ++i) {
      runbook::Step const& step = book.steps[i];
      Outcome const out =
          may_ && !may_() ? Outcome{false, "the duty is no longer held"} : take(step, run + "-" + std::to_string(i));
      logEvent("run=" + run + " step=" + std::to_string(i + 1) + " do=" + runbook::kindName(step.kind) + " name=\"" +
               step.name + "\" outcome=" + (out.ok ? "done" : "failed") + " said=\"" + out.said + "\"");
      if (!out.ok) {
        logEvent("run=" + run + " stopped-at=" + std::to_string(i + 1) +
                 " not-done=" + std::to_string(book.steps.size() - i));
        return false;
      }
    }
    logEvent("run=" + run + " outcome=done");
    return true;
  }

 private:
  void logEvent(std::string const& line) {
    std::cout << line << std::endl;
    if (account_.empty()) return;
    QFile file(core::qstr(account_));
    if (file.open(QIODevice::Append)) file.write(QByteArray::fromStdString(line + "\n"));
  }

  OperatorOutcome call(OperatorCall const& c) { return callOperator(controllers_, c, callSeconds); }

  Outcome take(runbook::Step const& step, std::string const& changeId) {
    switch (step.kind) {
      case runbook::Kind::evacuate:
        return change(
            {"PUT", "/v1/evacuations/" + config::addressPart(step.words.at("zone")), "", "", changeId, dryRun_}, step);
      case runbook::Kind::lift:
        return change(
            {"DELETE", "/v1/evacuations/" + config::addressPart(step.words.at("zone")), "", "", changeId, dryRun_},
            step);
      case runbook::Kind::putTemplate:
      case runbook::Kind::patchTemplate:
        return onNewest("/v1/templates/" + step.words.at("template"), step.kind == runbook::Kind::putTemplate, step,
                        changeId);
      case runbook::Kind::putInstance:
      case runbook::Kind::patchInstance:
        return onNewest("/v1/templates/" + step.words.at("template") + "/instances/" + step.words.at("instance"),
                        step.kind == runbook::Kind::putInstance, step, changeId);
      case runbook::Kind::wait:
        return wait(step);
      case runbook::Kind::verify:
        return verify(step.words.at("file"));
      case runbook::Kind::save:
        return save(step.words.at("file"));
      case runbook::Kind::confirm:
        return confirm(step.words.at("say"));
    }
    return {};
  }

  Outcome onNewest(std::string const& path, bool put, runbook::Step const& step, std::string const& changeId) {
    OperatorOutcome const before = call({"GET", "/v1/changes/" + changeId, "", "", "", false});
    if (before.status == 200 || before.body.value("pending").toBool())
      return {true, "done before, revision " + std::to_string(before.body.value("stamp").toInteger())};
    OperatorOutcome const now = call({"GET", path, "", "", "", false});
    if (now.status != 200 && !(put && now.status == 404))
      return {false, "reading it: status " + std::to_string(now.status)};
    std::string const revision = now.status == 404 ? "0" : now.revision;
    return change({put ? "PUT" : "PATCH", path, core::jsonText(step.body), revision, changeId, dryRun_}, step);
  }

  Outcome change(OperatorCall const& c, runbook::Step const& step) {
    core::Tick const until = now() + step.limitSeconds * 1000;
    for (;;) {
      OperatorOutcome const out = call(c);
      if (out.status == 200 || out.status == 201) return {true, "stamp " + out.revision};
      bool const again = out.status == 0 || out.status == 503 || out.status == 504;
      if (!again || now() >= until)
        return {false, out.status == 0 ? "no answer: " + out.error
                                       : "status " + std::to_string(out.status) + " " +
                                             core::str(out.body.value("reason").toString())};
      pause(pollMs);
    }
  }

  Outcome wait(runbook::Step const& step) {
    if (dryRun_) return {true, "would wait"};
    core::Tick const until = now() + step.limitSeconds * 1000;
    std::string seen = "nothing";
    for (;;) {
      OperatorOutcome const out = call({"GET", step.words.at("page"), "", "", "", false});
      if (out.status == 200) {
        runbook::Expectation const e = runbook::meets(out.body, step.expect);
        if (e.met) return {true, "as expected"};
        seen = e.seen.substr(0, 200);
      }
      if (now() >= until) return {false, "not in " + std::to_string(step.limitSeconds) + " s; last seen " + seen};
      pause(pollMs);
    }
  }

  /// All templates and instances as they stand, by the operator interface.
  std::pair<bool, QJsonObject> readAll() {
    OperatorOutcome const names = call({"GET", "/v1/templates", "", "", "", false});
    if (names.status != 200) return {false, {}};
    QJsonObject all;
    for (QJsonValue const n : names.body.value("templates").toArray()) {
      std::string const path = "/v1/templates/" + core::str(n.toString());
      OperatorOutcome const t = call({"GET", path, "", "", "", false});
      if (t.status != 200) return {false, {}};
      QJsonObject instances;
      for (QJsonValue const i : t.body.value("instances").toArray()) {
        OperatorOutcome const one = call({"GET", path + "/instances/" + core::str(i.toString()), "", "", "", false});
        if (one.status != 200) return {false, {}};
        instances.insert(i.toString(), one.body);
      }
      all.insert(
          n.toString(),
          QJsonObject{{"spec", t.body.value("spec")}, {"stamp", t.body.value("stamp")}, {"instances", instances}});
    }
    return {true, all};
  }

  Outcome save(std::string const& path) {
    std::pair<bool, QJsonObject> const all = readAll();
    if (!all.first) return {false, "the configuration could not be read"};
    if (dryRun_) return {true, "would write " + path};
    QFile file(core::qstr(path));
    if (!file.open(QIODevice::WriteOnly)) return {false, "cannot write " + path};
    file.write(QByteArray::fromStdString(core::jsonText(all.second) + "\n"));
    return {true, std::to_string(all.second.size()) + " templates"};
  }

  Outcome verify(std::string const& path) {
    std::pair<bool, QJsonObject> const all = readAll();
    if (!all.first) return {false, "the configuration could not be read"};
    QJsonValue const saved = core::parseJson(readFile(path));
    if (saved == QJsonValue(all.second)) return {true, "as saved"};
    for (QString const& k : saved.toObject().keys())
      if (saved.toObject().value(k) != all.second.value(k))
        return {false, "template " + core::str(k) + " differs from " + path};
    return {false, "there are templates that " + path + " does not have"};
  }

  Outcome confirm(std::string const& say) {
    if (dryRun_) return {true, "would ask: " + say};
    if (yes_) return {true, "taken as done: " + say};
    std::cout << say << "\nDone? (yes/no) " << std::flush;
    std::string line;
    std::getline(std::cin, line);
    return {line == "yes", line == "yes" ? "confirmed" : "not confirmed"};
  }

  std::vector<std::string> controllers_;
  bool dryRun_;
  bool yes_;
  std::string account_;
  std::function<bool()> may_;
};

std::map<std::string, std::string> parametersOf(std::vector<std::string> const& words) {
  std::map<std::string, std::string> out;
  for (std::string const& w : words) {
    std::size_t const eq = w.find('=');
    if (eq == std::string::npos || eq == 0) throw UsageError("set: must be name=value, but is " + w);
    out[w.substr(0, eq)] = w.substr(eq + 1);
  }
  return out;
}

std::string besideOf(std::string const& folder, std::string const& name) {
  if (name.find('/') != std::string::npos || name.find("..") != std::string::npos)
    throw UsageError("runbook: must be a name without folders: " + name);
  return folder + "/" + name;
}

/// Samples of the metrics pages, with corkward_up for each.
std::vector<alerting::Sample> scrape(std::vector<std::string> const& targets) {
  std::vector<alerting::Sample> samples;
  for (std::string const& t : targets) {
    std::size_t const eq = t.find('=');
    std::string const address = eq == std::string::npos ? t : t.substr(eq + 1);
    alerting::Labels own{{"target", address}};
    if (eq != std::string::npos) own["zone"] = t.substr(0, eq);
    OperatorOutcome const page = callOperator({address}, {"GET", "/metrics", "", "", "", false}, 2);
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

/// The watch over alerts: it acts only while it has the duty, and only on an alert that it has claimed in the control
/// state, so that after a takeover nobody acts on it a second time.
class Watcher {
 public:
  Watcher(std::vector<std::string> const& controllers, Foreman& foreman, std::vector<alerting::Rule> rules,
          std::string const& folder)
      : controllers_(controllers),
        foreman_(foreman),
        rules_(rules),
        watch_(std::move(rules)),
        me_(freshName()),
        duty_(controllers, "alert-watch", me_) {
    for (alerting::Rule const& r : rules_)
      books_[r.alert] = runbook::readRunbook(readFile(besideOf(folder, r.runbook)), r.parameters);
    foreman_.guard([this] { return duty_.renew(); });
  }

  void look(std::vector<std::string> const& targets) {
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

  int acted() const { return acted_; }
  void leave() { duty_.release(); }
  /// Renews the duty between two looks.
  void keep() {
    if (had_) duty_.renew();
  }

 private:
  std::string pathOf(alerting::Rule const& r) const {
    std::string name;
    for (char const c : r.alert) {
      if (std::isupper(static_cast<unsigned char>(c)) && !name.empty() && name.back() != '-') name += '-';
      name += std::isalnum(static_cast<unsigned char>(c))
                  ? static_cast<char>(std::tolower(static_cast<unsigned char>(c)))
                  : '-';
    }
    return "/v1/alerts/" + name;
  }

  /// Puts a state on the revision that was read; the new revision, or -1 when it was not taken.
  qint64 put(alerting::Rule const& r, char const* state, qint64 revision) {
    QJsonObject const body{{"state", state}, {"by", core::qstr(me_)}};
    OperatorOutcome const out = callOperator(
        controllers_, {"PUT", pathOf(r), core::jsonText(body), std::to_string(revision), freshName(), false},
        callSeconds);
    bool const taken = out.status == 200 || out.body.value("pending").toBool();
    return taken ? out.body.value("stamp").toInteger() : -1;
  }

  void settle(alerting::Rule const& r, bool holds) {
    OperatorOutcome const seen = callOperator(controllers_, {"GET", pathOf(r), "", "", "", false}, callSeconds);
    if (seen.status != 200) return;
    std::string const state = core::str(seen.body.value("state").toString());
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
    foreman_.carryOut(books_.at(r.alert),
                      "alert-" + pathOf(r).substr(std::string("/v1/alerts/").size()) + "-" + std::to_string(revision));
    ++acted_;
    if (duty_.held() && put(r, "done", revision) >= 0) known_[r.alert] = "done";
  }

  std::vector<std::string> controllers_;
  Foreman& foreman_;
  std::vector<alerting::Rule> rules_;
  alerting::Watch watch_;
  std::string me_;
  Duty duty_;
  bool had_ = false;
  int acted_ = 0;
  std::map<std::string, runbook::Runbook> books_;
  std::map<std::string, std::string> known_;
};

int watch(Watcher& watcher, std::vector<std::string> const& targets, int everySeconds, int rounds, int acts) {
  bool ending = false;
  onTermination(QCoreApplication::instance(), [&ending] { ending = true; });
  for (int round = 0; !ending && (rounds == 0 || round < rounds); ++round) {
    watcher.look(targets);
    if (acts > 0 && watcher.acted() >= acts) break;
    for (int slice = 0; slice < 4 * everySeconds && !ending; ++slice) {
      if (slice % 12 == 11) watcher.keep();
      pause(250);
    }
  }
  watcher.leave();
  return 0;
}

int runRunbook(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  std::vector<std::string> controllers;
  std::vector<std::string> sets;
  std::vector<std::string> targets;
  std::vector<std::string> words;
  std::string account;
  std::string rules;
  int every = 5;
  int rounds = 0;
  int acts = 0;
  po::options_description flags("Flags");
  flags.add_options()("substation", po::value(&controllers)->default_value({"127.0.0.1:9100"}, "127.0.0.1:9100"),
                      "address of a controller, ip:port; give all of them")(
      "set", po::value(&sets), "name=value for a parameter of the runbook")("check",
                                                                            "check the runbook or the rules and exit")(
      "dry-run", "say what each step would do; changes are only checked")("yes", "take every confirm step as done")(
      "account", po::value(&account), "file that the account is added to")(
      "rules", po::value(&rules), "watch with this rule file; its runbooks stand beside it")(
      "target", po::value(&targets), "metrics page to watch, ip:port or zone=ip:port")(
      "every", po::value(&every)->default_value(5), "seconds between two looks, 1 to 600")(
      "rounds", po::value(&rounds)->default_value(0), "looks before the end; 0 for no end")(
      "acts", po::value(&acts)->default_value(0), "runbooks carried out before the end; 0 for no end")(
      "help", "print this and exit")("version", "print the version and exit");
  po::options_description hidden;
  hidden.add_options()("runbook", po::value(&words));
  po::options_description all;
  all.add(flags).add(hidden);
  po::positional_options_description positional;
  positional.add("runbook", -1);
  try {
    po::variables_map vm;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      std::cout << "corkward-runbook [flags] RUNBOOK\ncorkward-runbook [flags] --rules FILE --target ...\n\n"
                << flags
                << "\nExit codes: 0 done, 1 a step failed and the rest was not done, 2 bad use and nothing done\n";
      return 0;
    }
    if (vm.count("version") > 0) {
      std::cout << "corkward-runbook " << CORKWARD_VERSION << "\n";
      return 0;
    }
    if (every < 1 || every > 600) throw UsageError("every: must be 1 to 600");
    Foreman foreman(controllers, vm.count("dry-run") > 0, vm.count("yes") > 0, account);
    if (!rules.empty()) {
      if (!words.empty()) throw UsageError("a runbook and --rules exclude each other");
      std::vector<alerting::Rule> const read = alerting::readRules(readFile(rules));
      std::size_t const slash = rules.rfind('/');
      std::string const folder = slash == std::string::npos ? "." : rules.substr(0, slash);
      for (alerting::Rule const& r : read) runbook::readRunbook(readFile(besideOf(folder, r.runbook)), r.parameters);
      if (vm.count("check") > 0) {
        std::cout << read.size() << " rules are valid\n";
        return 0;
      }
      if (targets.empty()) throw UsageError("target: missing");
      Watcher watcher(controllers, foreman, read, folder);
      return watch(watcher, targets, every, rounds, acts);
    }
    if (words.size() != 1) throw UsageError("one runbook is needed; see --help");
    runbook::Runbook const book = runbook::readRunbook(readFile(words[0]), parametersOf(sets));
    if (vm.count("check") > 0) {
      std::cout << book.name << ": " << book.steps.size() << " steps are valid\n";
      return 0;
    }
    return foreman.carryOut(book) ? 0 : 1;
  } catch (po::error const& e) {
    std::cerr << "corkward-runbook: " << e.what() << "\n";
  } catch (core::Error const& e) {
    std::cerr << "corkward-runbook: " << e.what() << "\n";
  }
  return 2;
}

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runRunbook(argc, argv);
}
