#include "runner.h"

#include <QDir>
#include <QElapsedTimer>
#include <QFile>
#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::fuzz {

namespace {

constexpr double second = 1000.0;

}  // namespace

Runner::Runner(std::function<std::optional<Plan>()> next, std::optional<Mutation> mutation, std::size_t maxConcurrent)
    : next_(std::move(next)), mutation_(std::move(mutation)), maxConcurrent_(maxConcurrent) {}

void Runner::fill() {
  while (scenarios_.size() < maxConcurrent_) {
    std::optional<Plan> plan = next_();
    if (!plan) return;
    std::shared_ptr<Scenario*> const index = std::make_shared<Scenario*>(nullptr);
    scenarios_.push_back(std::make_unique<Scenario>(std::move(*plan), mutation_, [this, index] {
      QMetaObject::invokeMethod(
          &loop_, [this, index] { ended(*index); }, Qt::QueuedConnection);
    }));
    *index = scenarios_.back().get();
  }
}

void Runner::ended(Scenario* scenario) {
  Record const& record = scenario->record();
  ++report_.scenarios;
  report_.dispatches += record.dispatches.size();
  for (Dispatch const& d : record.dispatches) ++report_.faults[name(d.fault)];
  for (CallerObservation const& s : record.callers) {
    ++report_.requests;
    bool const success = s.status >= 200 && s.status < 300;
    report_.served += s.complete && success ? 1 : 0;
    report_.cut += !s.complete && success && s.disconnectedAt == 0 ? 1 : 0;
  }
  for (Violation& v : scenario->check(lag_)) report_.findings.push_back(Finding{scenario->plan().name, std::move(v)});
  std::erase_if(scenarios_, [scenario](std::unique_ptr<Scenario> const& s) { return s.get() == scenario; });
  fill();
  if (scenarios_.empty()) loop_.quit();
}

Report Runner::run() {
  fill();
  if (!scenarios_.empty()) loop_.exec();
  return report_;
}

std::function<std::optional<Plan>()> seeds(std::uint64_t from, std::uint64_t count, double seconds) {
  QElapsedTimer clock;
  clock.start();
  return [clock, from, count, seconds, given = std::uint64_t{0}]() mutable -> std::optional<Plan> {
    bool const late = seconds > 0 && static_cast<double>(clock.elapsed()) > seconds * second;
    if (given >= count || late) return std::nullopt;
    return planOf(from + given++);
  };
}

std::vector<Plan> corpus(std::string const& directory) {
  QDir const dir(core::toQString(directory));
  if (!dir.exists()) throw PlanError(directory + ": no such directory");
  std::vector<Plan> out;
  for (QString const& name : dir.entryList({"*.json"}, QDir::Files, QDir::Name)) {
    QFile file(dir.filePath(name));
    if (!file.open(QIODevice::ReadOnly)) throw PlanError(core::toStdString(name) + ": cannot be read");
    out.push_back(planOf(core::toStdString(name), core::parseJson(file.readAll().toStdString()).toObject()));
  }
  return out;
}

}  // namespace corkward::fuzz
