#include "singleton_role_client.h"

#include <QJsonArray>
#include <algorithm>
#include <utility>

#include <corkward/core/json.h>

#include "clock.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

/// Duration of the lease in milliseconds. It is shorter than the controllers' duration by more than the clocks' rates
/// may differ, so the holder's lease ends first.
constexpr core::Milliseconds leaseDuration = 12000;
constexpr int requestTimeoutSeconds = 1;

std::set<std::string> textsOf(QJsonValue const& list) {
  std::set<std::string> out;
  for (QJsonValue const item : list.toArray()) out.insert(core::toStdString(item.toString()));
  return out;
}

std::uint64_t numberOf(QJsonValue const& value) {
  return static_cast<std::uint64_t>(value.toInteger());
}

}  // namespace

SingletonRoleClient::SingletonRoleClient(std::vector<std::string> controllers, std::string role, std::string holder)
    : controllers_(std::move(controllers)), role_(std::move(role)), holder_(std::move(holder)) {}

OperatorReply SingletonRoleClient::call(std::string const& controller, core::HttpMethod method,
                                        std::string const& successor) const {
  QJsonObject const body{{"holder", core::toQString(holder_)}, {"successor", core::toQString(successor)}};
  return callOperator({controller}, {method, paths::ofSingletonRole(role_), core::jsonText(body)},
                      requestTimeoutSeconds);
}

void SingletonRoleClient::Votes::add(QJsonObject const& page) {
  std::uint64_t const revision = numberOf(page.value("cohortStamp"));
  if (members.empty() || revision > membersRevision) {
    membersRevision = revision;
    members = textsOf(page.value("cohort"));
  }
  if (!page.value("granted").toBool()) return;
  grantedBy.insert(core::toStdString(page.value("member").toString()));
  term = std::max(term, numberOf(page.value("epoch")));
}

bool SingletonRoleClient::Votes::isMajority() const {
  auto const granted = [&](std::string const& member) { return grantedBy.count(member) > 0; };
  auto const votes = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), granted));
  return !members.empty() && votes >= members.size() / 2 + 1;
}

bool SingletonRoleClient::holdsRole() const {
  return now() < expiresAt_;
}

bool SingletonRoleClient::renew() {
  core::Milliseconds const requestedAt = now();
  Votes votes;
  contenders_.clear();
  for (std::string const& controller : controllers_) {
    OperatorReply const reply = call(controller, core::HttpMethod::put, "");
    if (!reply.is(core::HttpStatus::ok)) continue;
    votes.add(reply.body);
    contenders_.merge(textsOf(reply.body.value("waiting")));
  }
  if (votes.isMajority()) {
    expiresAt_ = requestedAt + leaseDuration;
    term_ = votes.term;
  }
  return holdsRole();
}

void SingletonRoleClient::release() {
  if (!holdsRole()) return;
  expiresAt_ = 0;
  std::string const successor = contenders_.empty() ? "" : *contenders_.begin();
  for (std::string const& controller : controllers_) call(controller, core::HttpMethod::del, successor);
}

}  // namespace corkward::programs
