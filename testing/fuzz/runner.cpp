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

Runner::Runner(std::function<std::optional<Plan>()> next, std::optional<Mutation> mutation, std::size_t atOnce)
    : next_(std::move(next)), mutation_(std::move(mutation)), atOnce_(atOnce) {}

void Runner::fill() {
  while (scenes_.size() < atOnce_) {
    std::optional<Plan> plan = next_();
    if (!plan) return;
    std::shared_ptr<Scene*> const place = std::make_shared<Scene*>(nullptr);
    scenes_.push_back(std::make_unique<Scene>(std::move(*plan), mutation_, [this, place] {
      QMetaObject::invokeMethod(
          &loop_, [this, place] { ended(*place); }, Qt::QueuedConnection);
    }));
    *place = scenes_.back().get();
  }
}

void Runner::ended(Scene* scene) {
  Record const& record = scene->record();
  ++report_.scenes;
  report_.dispatches += record.dispatches.size();
  for (Dispatch const& d : record.dispatches) ++report_.faults[name(d.fault)];
  for (Seen const& s : record.callers) {
    ++report_.requests;
    bool const success = s.status >= 200 && s.status < 300;
    report_.served += s.whole && success ? 1 : 0;
    report_.cut += !s.whole && success && s.leftAt == 0 ? 1 : 0;
  }
  for (Violation& v : scene->judged(lag_)) report_.findings.push_back(Finding{scene->plan().name, std::move(v)});
  std::erase_if(scenes_, [scene](std::unique_ptr<Scene> const& s) { return s.get() == scene; });
  fill();
  if (scenes_.empty()) loop_.quit();
}

Report Runner::run() {
  fill();
  if (!scenes_.empty()) loop_.exec();
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

std::vector<Plan> corpus(std::string const& folder) {
  QDir const dir(core::toQString(folder));
  if (!dir.exists()) throw PlanError(folder + ": no such folder");
  std::vector<Plan> out;
  for (QString const& name : dir.entryList({"*.json"}, QDir::Files, QDir::Name)) {
    QFile file(dir.filePath(name));
    if (!file.open(QIODevice::ReadOnly)) throw PlanError(core::toStdString(name) + ": cannot be read");
    out.push_back(planOf(core::toStdString(name), core::parseJson(file.readAll().toStdString()).toObject()));
  }
  return out;
}

}  // namespace corkward::fuzz
