#include "singleton_role_client.h"

#include <QJsonArray>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::programs {

namespace {

/// Shorter than the controllers' own count by more than clocks may differ.
constexpr core::Tick leaseHere = 12000;
constexpr int askSeconds = 1;

}  // namespace

SingletonRoleClient::SingletonRoleClient(std::vector<std::string> controllers, std::string name, std::string who)
    : controllers_(std::move(controllers)), name_(std::move(name)), who_(std::move(who)) {}

OperatorOutcome SingletonRoleClient::ask(std::string const& controller, char const* method,
                                         std::string const& successor) const {
  QJsonObject const body{{"holder", core::toQString(who_)}, {"successor", core::toQString(successor)}};
  return callOperator({controller}, {method, "/v1/duties/" + name_, core::jsonText(body), "", "", false}, askSeconds);
}

bool SingletonRoleClient::held() const {
  return now() < until_;
}

bool SingletonRoleClient::renew() {
  core::Tick const asked = now();
  std::set<std::string> yes;
  std::set<std::string> membership;
  std::uint64_t newest = 0;
  std::uint64_t term = 0;
  waiting_.clear();
  for (std::string const& s : controllers_) {
    OperatorOutcome const out = ask(s, "PUT", "");
    if (out.status != 200) continue;
    std::uint64_t const revision = static_cast<std::uint64_t>(out.body.value("cohortStamp").toInteger());
    if (membership.empty() || revision > newest) {
      newest = revision;
      membership.clear();
      for (QJsonValue const v : out.body.value("cohort").toArray()) membership.insert(core::toStdString(v.toString()));
    }
    for (QJsonValue const v : out.body.value("waiting").toArray()) waiting_.insert(core::toStdString(v.toString()));
    if (!out.body.value("granted").toBool()) continue;
    yes.insert(core::toStdString(out.body.value("member").toString()));
    term = std::max(term, static_cast<std::uint64_t>(out.body.value("epoch").toInteger()));
  }
  std::size_t n = 0;
  for (std::string const& member : membership) n += yes.count(member);
  if (!membership.empty() && n >= membership.size() / 2 + 1) {
    until_ = asked + leaseHere;
    term_ = term;
  }
  return held();
}

void SingletonRoleClient::release() {
  if (!held()) return;
  until_ = 0;
  std::string const successor = waiting_.empty() ? "" : *waiting_.begin();
  for (std::string const& s : controllers_) ask(s, "DELETE", successor);
}

}  // namespace corkward::programs
