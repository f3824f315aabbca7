#include "apply.h"

#include <QJsonArray>
#include <iostream>

#include <corkward/core/json.h>

#include "change_plan.h"

namespace corkward::programs {

namespace {

ExitCode outcomeCode(OperatorReply const& reply) {
  if (reply.accepted()) return ExitCode::ok;
  if (reply.pending()) return ExitCode::rolloutPending;
  return reply.answered() ? exitCodeOf(reply.status) : ExitCode::noAnswer;
}

void printPlan(std::vector<PlannedChange> const& plan) {
  std::cout << (plan.empty() ? "nothing to change" : std::to_string(plan.size()) + " changes") << "\n";
  for (PlannedChange const& change : plan)
    std::cout << "  " << name(change.action) << " " << change.call.path << " (revision " << change.call.revision
              << ")\n";
}

void printOutcome(PlannedChange const& change, OperatorReply const& reply) {
  std::cout << (reply.accepted() ? "done " : "stopped at ") << change.call.path << ": status " << reply.status;
  if (!reply.accepted())
    std::cout << " " << core::toStdString(reply.body.value("pointer").toString()) << " "
              << core::toStdString(reply.body.value("reason").toString());
  std::cout << "\n";
}

/// Returns the change's entry in the JSON report, without its outcome.
QJsonObject reportOf(PlannedChange const& change) {
  return {{"action", name(change.action)},
          {"path", core::toQString(change.call.path)},
          {"stamp", core::toQString(change.call.revision).toLongLong()},
          {"changeId", core::toQString(change.call.changeId)}};
}

/// Sends planned changes in order until one is not accepted.
class ChangeApplier {
 public:
  ChangeApplier(std::vector<std::string> const& controllers, ApplyOptions const& options)
      : controllers_(controllers), options_(options) {}

  /// Sends the change, unless an earlier one failed or changes are only compared, and adds it to the report.
  void add(PlannedChange const& change) {
    QJsonObject report = reportOf(change);
    bool const send = options_.apply && !options_.dryRun;
    if (send && code_ == ExitCode::ok) apply(change, report);
    changes_.append(report);
  }
  ExitCode code() const { return code_; }
  qint64 done() const { return done_; }
  QJsonArray const& changes() const { return changes_; }

 private:
  void apply(PlannedChange const& change, QJsonObject& report) {
    OperatorReply const first = callOperator(controllers_, change.call, options_.timeoutSeconds);
    OperatorReply const reply =
        waitForRollout(controllers_, change.call, first, options_.timeoutSeconds, options_.waitSeconds);
    code_ = outcomeCode(reply);
    if (reply.accepted()) ++done_;
    report.insert("status", reply.status);
    if (!reply.accepted()) report.insert("outcome", reply.body);
    if (!options_.json) printOutcome(change, reply);
  }

  std::vector<std::string> const& controllers_;
  ApplyOptions const& options_;
  ExitCode code_ = ExitCode::ok;
  qint64 done_ = 0;
  QJsonArray changes_;
};

}  // namespace

ExitCode applyDeclarations(std::vector<std::string> const& controllers, ApplyOptions const& options) {
  std::vector<Declaration> const declarations = readDeclarations(options.directory);
  std::vector<PlannedChange> plan;
  try {
    plan = planChanges(declarations, options.prune, [&](OperatorCall const& call) {
      return callOperator(controllers, call, options.timeoutSeconds);
    });
  } catch (UsageError const&) {
    throw;
  } catch (core::Error const& error) {
    std::cerr << "corkward: " << error.what() << "; nothing was changed\n";
    return ExitCode::noAnswer;
  }
  if (!options.json) printPlan(plan);
  ChangeApplier applier(controllers, options);
  for (PlannedChange const& change : plan) applier.add(change);
  bool const differs = !options.apply && !plan.empty();
  ExitCode const code = differs ? ExitCode::differs : applier.code();
  if (options.json) {
    QJsonObject const report{
        {"changes", applier.changes()}, {"done", applier.done()}, {"code", static_cast<int>(code)}};
    std::cout << core::jsonText(report) << "\n";
  }
  bool const sent = options.apply && !options.dryRun && !plan.empty();
  if (!options.json && sent) std::cout << applier.done() << " of " << plan.size() << " changes done\n";
  return code;
}

}  // namespace corkward::programs
