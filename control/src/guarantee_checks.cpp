#include <corkward/control/controller.h>

#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>

namespace corkward::control {

namespace {

/// Confirmed changes of one key that are remembered to be compared with later ones.
constexpr std::size_t confirmedKept = 64;
constexpr int ok = 200;
constexpr int created = 201;

/// Keys whose changes name the revision that they build on, each at most once.
bool namesItsBase(std::string const& key, transport::OperatorCall const& call) {
  return key == config::fleetConfigurationKey && !call.ifMatch.empty() && !call.dryRun;
}

}  // namespace

void Controller::checkCommitted(consensus::CommittedValue const& c) const {
  std::map<std::string, Settling>::const_iterator const before = settling_.find(c.key);
  CORKWARD_GUARANTEE(core::Guarantee::revisionsRise, before == settling_.end() || c.revision > before->second.revision,
                     c.key + " falls to revision " + std::to_string(c.revision));
}

void Controller::checkConfirmed(consensus::CallCompleted const& d, transport::OperatorCall const& call) {
  bool const taken = d.revision != 0 && (d.status == ok || d.status == created);
  if (!taken || !namesItsBase(d.key, call)) return;
  std::deque<std::pair<std::string, std::uint64_t>>& all = confirmed_[d.key];
  for (std::pair<std::string, std::uint64_t> const& one : all)
    CORKWARD_GUARANTEE(core::Guarantee::oneChangePerRevision, one.first != call.ifMatch || one.second == d.revision,
                       d.key + ": revisions " + std::to_string(one.second) + " and " + std::to_string(d.revision) +
                           " both on " + call.ifMatch);
  all.emplace_back(call.ifMatch, d.revision);
  if (all.size() > confirmedKept) all.pop_front();
}

std::uint64_t Controller::committedStamp(Target const& target) const {
  std::map<std::string, consensus::CommittedValue>::const_iterator const it = registers_.committed().find(target.key);
  if (it == registers_.committed().end()) return 0;
  bool const ofFamily = !target.templateName.empty();
  if (!ofFamily) return it->second.revision;
  QJsonObject const& family = it->second.value;
  QJsonValue const row = target.entry.empty()
                             ? family.value("template")
                             : family.value("instances").toObject().value(core::toQString(target.entry));
  return static_cast<std::uint64_t>(row.toObject().value("stamp").toInteger());
}

void Controller::checkServed(CallState const& state, int status, QJsonObject const& body) const {
  bool const read = state.call.method == "GET" && status == ok && body.contains("stamp");
  if (!read) return;
  std::uint64_t const served = static_cast<std::uint64_t>(body.value("stamp").toInteger());
  CORKWARD_GUARANTEE(core::Guarantee::currentWhenServed, served >= state.knownWhenAsked,
                     state.call.path + ": stamp " + std::to_string(served) + " is served, " +
                         std::to_string(state.knownWhenAsked) + " was committed when it was asked for");
}

}  // namespace corkward::control
