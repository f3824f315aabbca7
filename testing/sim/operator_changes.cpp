#include <algorithm>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "internal.h"

/// Operators of the fleet configuration: their changes, retries at other controllers, races and reads, and the checks
/// of the responses.
namespace corkward::testing {

namespace {

/// An operator retries a change after this time without a response, and gives it up after `changeTimeout` in all.
constexpr Milliseconds answerTimeout = 1000;
constexpr Milliseconds changeTimeout = 20000;
/// Fraction of the changes beside which an invalid one is sent, if the plan has any.
constexpr double invalidFraction = 0.3;
/// Status of a change that is rejected because its configuration is invalid.
constexpr int unprocessableContent = 422;
/// Returns whether the status leaves open whether the change was accepted; the operator then sends it again.
bool isInconclusive(int status) {
  return status == 0 || status == 307 || status == 408 || status == 421 || status == 429 || status >= 500;
}

bool success(int status) {
  return status == 200 || status == 201;
}

QJsonObject configurationBody(std::uint64_t version) {
  QJsonObject const body = core::parseJson(R"({"pools":[{"name":"wide","standing":"/health"}],"paths":[{"name":"p",
      "host":"h","prefix":"/a/","kind":"once","deadlineMs":3000,"pool":"wide"}]})")
                               .toObject();
  QJsonObject out = body;
  out.insert("version", static_cast<qint64>(version));
  return out;
}

}  // namespace

std::string SimulatedCluster::chooseOtherController(std::string const& link) {
  std::vector<std::string> up;
  for (auto const& [address, machine] : nodes_)
    if (machine.control && machine.alive && !machine.draining && address != link) up.push_back(address);
  if (up.empty()) return node(link) != nullptr && node(link)->alive ? link : std::string();
  return up[rng_.below(up.size())];
}

void SimulatedCluster::sendOperatorCall(std::string const& link, transport::OperatorCall call, Milliseconds limit,
                                        std::function<void(int, QJsonObject const&)> then) {
  Node const* const to = node(link);
  if (to == nullptr || !to->alive) {
    after(2, [then] { then(0, {}); });
    return;
  }
  call.token = nextCall_++;
  std::shared_ptr<bool> const done = std::make_shared<bool>(false);
  bool const late = plan_.mutation == Mutation::delayResponses && call.method != "GET";
  answers_[{link, call.token}] = [this, done, then, late](int status, QJsonObject const& body) {
    auto const deliver = [done, then, status, body] {
      if (*done) return;
      *done = true;
      then(status, body);
    };
    if (late)
      after(5000, deliver);
    else
      deliver();
  };
  std::uint64_t const incarnation = to->incarnation;
  after(2, [this, link, incarnation, call] {
    deliverToNode(link, incarnation, [this, link, call] {
      Node& n = *node(link);
      run(n, n.control->onOperatorCall(local(n), call));
    });
  });
  after(limit, [done, then] {
    if (*done) return;
    *done = true;
    then(0, {});
  });
  after(20000, [this, link, token = call.token] { answers_.erase({link, token}); });
}

void SimulatedCluster::changeFleetConfigurationPeriodically() {
  if (loadStopped_) return;
  Milliseconds const mean = burstChangesLeft_ > 0 ? 1 : plan_.operators.meanInterval;
  after(1 + static_cast<Milliseconds>(rng_.below(static_cast<std::uint64_t>(2 * mean))),
        [this] { changeFleetConfigurationPeriodically(); });
  if (rng_.chance(0.1)) resendAcknowledgedChange();
  std::size_t const open =
      static_cast<std::size_t>(std::count_if(configurationChanges_.begin(), configurationChanges_.end(),
                                             [](ConfigurationChange const& o) { return !o.closed; }));
  if (open > 0) return;
  sendNewChange("");
  if (burstChangesLeft_ == 0 && rng_.chance(plan_.operators.raceFraction)) sendNewChange("");
  if (plan_.operators.hostSpellings && rng_.chance(invalidFraction)) sendInvalidChange();
  if (burstChangesLeft_ > 0 && --burstChangesLeft_ == 0) stopControllerAfterBurst();
}

SimulatedCluster::ConfigurationChange SimulatedCluster::newChange() {
  ConfigurationChange o;
  o.base = std::to_string(knownVersion_);
  nextVersion_ = std::max(nextVersion_, knownVersion_ + 1);
  o.version = nextVersion_;
  nextVersion_ += 1 + rng_.below(3);
  o.id = "order" + std::to_string(o.version);
  QJsonObject body = configurationBody(o.version);
  if (plan_.operators.hostSpellings) body.insert("paths", respelledPaths(o.version));
  o.body = core::jsonText(body);
  return o;
}

void SimulatedCluster::sendNewChange(std::string const& link) {
  configurationChanges_.push_back(newChange());
  ++result_.counts["orders"];
  sendConfigurationChange(configurationChanges_.size() - 1, link.empty() ? chooseController() : link);
}

void SimulatedCluster::sendInvalidChange() {
  ConfigurationChange change = newChange();
  QJsonObject body = core::parseJson(change.body).toObject();
  QJsonArray paths = body.value("paths").toArray();
  paths.append(conflictingPath(change.version));
  body.insert("paths", paths);
  change.body = core::jsonText(body);
  change.invalid = true;
  configurationChanges_.push_back(change);
  ++result_.counts["invalid-orders"];
  sendConfigurationChange(configurationChanges_.size() - 1, chooseController());
}

void SimulatedCluster::sendConfigurationChange(std::size_t index, std::string const& link) {
  ConfigurationChange& o = configurationChanges_[index];
  if (o.closed) return;
  if (o.sentAt < 0) {
    o.sentAt = now_;
    if (powerLossTrigger_.armed && powerLossTrigger_.afterSending) {
      PowerLossTrigger const due = powerLossTrigger_;
      powerLossTrigger_ = {};
      after(5 + static_cast<Milliseconds>(rng_.below(396)), [this, due] { cutPower(due); });
    }
  }
  if (now_ - o.sentAt > changeTimeout) {
    o.closed = true;
    ++result_.counts["orders-given-up"];
    return;
  }
  if (++o.sends > 1) ++result_.counts["order-resends"];
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = config::fleetConfigurationPage;
  call.ifMatch = o.base;
  call.changeId = o.id;
  if (plan_.mutation == Mutation::rebaseResends && o.sends > 1) call.ifMatch = std::to_string(confirmedVersion_);
  if (plan_.mutation == Mutation::rejectValidChange && o.sends == 1 && rng_.chance(0.2)) call.ifMatch = "999999";
  call.body = o.sends > 1 ? resentBody(o) : o.body;
  std::uint64_t const base = confirmedVersion_;
  sendOperatorCall(link, call, answerTimeout, [this, index, link, base](int status, QJsonObject const& body) {
    onChangeResponse(index, link, base, status, body);
  });
}

void SimulatedCluster::resendLater(std::size_t index, std::string const& link, Milliseconds wait) {
  after(wait, [this, index, link] {
    std::string const next = plan_.operators.retryImmediately && rng_.chance(0.5) ? link : chooseOtherController(link);
    if (configurationChanges_[index].closed) return;
    if (next.empty())
      resendLater(index, link, 300);
    else
      sendConfigurationChange(index, next);
  });
}

void SimulatedCluster::onChangeResponse(std::size_t index, std::string const& link, std::uint64_t baseAtSend,
                                        int status, QJsonObject const& body) {
  ConfigurationChange& o = configurationChanges_[index];
  ++result_.counts["order-" + std::to_string(status)];
  if (success(status)) {
    if (o.invalid) violation("an invalid change of the fleet configuration was accepted: " + o.id + " by " + link);
    bool const first = o.acknowledgedAt < 0;
    if (first) {
      o.acknowledgedAt = now_;
      o.revision = static_cast<std::uint64_t>(body.value("stamp").toInteger());
      result_.ackTimes.push_back(now_ - o.sentAt);
      ++result_.counts["orders-taken"];
      confirmedVersion_ = std::max(confirmedVersion_, o.version);
      confirmedRevision_ = std::max(confirmedRevision_, o.revision);
    }
    if (first && powerLossTrigger_.armed && !powerLossTrigger_.afterSending) {
      PowerLossTrigger const due = powerLossTrigger_;
      powerLossTrigger_ = {};
      cutPower(due);
    }
    if (o.closed) return;
    if (o.sends < 6 && rng_.chance(plan_.operators.ackLossFraction)) {
      ++result_.counts["acks-lost"];
      resendLater(index, link, plan_.operators.retryImmediately ? 20 : answerTimeout);
      return;
    }
    o.closed = true;
    knownVersion_ = std::max(knownVersion_, o.version);
    return;
  }
  if (plan_.mutation == Mutation::rebaseResends && status == 412 && !o.closed) {
    resendLater(index, link, 200);
    return;
  }
  if (!isInconclusive(status)) {
    checkRejection(o, link, baseAtSend, status);
    o.closed = true;
    knownVersion_ = std::max(knownVersion_, static_cast<std::uint64_t>(body.value("version").toInteger()));
    return;
  }
  if (!o.closed) resendLater(index, link, plan_.operators.retryImmediately ? 20 : 200);
}

void SimulatedCluster::checkRejection(ConfigurationChange& rejected, std::string const& link, std::uint64_t baseAtSend,
                                      int status) {
  if (rejected.invalid) {
    if (status == unprocessableContent) ++result_.counts["invalid-orders-rejected"];
    return;
  }
  auto const ix = static_cast<std::size_t>(&rejected - configurationChanges_.data());
  bool const committed =
      std::any_of(changeOfRevision_.begin(), changeOfRevision_.end(),
                  [&](std::pair<std::uint64_t const, std::size_t> const& c) { return c.second == ix; });
  if (rejected.acknowledgedAt >= 0 || committed) {
    violation("a resend of an accepted change was rejected with " + std::to_string(status) + " by " + link + ": " +
              rejected.id + " on " + rejected.base + ", newest confirmed " + std::to_string(confirmedVersion_));
    return;
  }
  std::uint64_t const newest = committedVersions_.empty() ? 0 : committedVersions_.rbegin()->second;
  if (std::to_string(baseAtSend) == rejected.base && std::to_string(newest) == rejected.base)
    violation("a valid change was rejected with " + std::to_string(status) + " by " + link + ": " + rejected.id +
              " on " + rejected.base + ", which is the newest");
}

std::string SimulatedCluster::resentBody(ConfigurationChange const& change) const {
  if (plan_.mutation != Mutation::alterResentBody) return change.body;
  return "{\"resent\":true," + change.body.substr(1);
}

void SimulatedCluster::resendAcknowledgedChange() {
  std::vector<std::size_t> acknowledged;
  for (std::size_t i = 0; i < configurationChanges_.size(); ++i)
    if (configurationChanges_[i].closed && configurationChanges_[i].acknowledgedAt >= 0) acknowledged.push_back(i);
  std::string const link = chooseController();
  if (acknowledged.empty() || link.empty()) return;
  std::size_t const ix = acknowledged[rng_.below(acknowledged.size())];
  ConfigurationChange const& o = configurationChanges_[ix];
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = config::fleetConfigurationPage;
  call.ifMatch = o.base;
  call.changeId = o.id;
  call.body = resentBody(o);
  ++result_.counts["late-resends"];
  sendOperatorCall(link, call, answerTimeout, [this, ix, link](int status, QJsonObject const&) {
    if (!success(status) && !isInconclusive(status)) checkRejection(configurationChanges_[ix], link, 0, status);
  });
}

void SimulatedCluster::readPeriodically() {
  if (loadStopped_) return;
  after(100 + static_cast<Milliseconds>(rng_.below(400)), [this] { readPeriodically(); });
  std::string const link = chooseController();
  if (!link.empty()) readOnce(link);
}

void SimulatedCluster::readOnce(std::string const& link) {
  std::uint64_t const confirmed = confirmedVersion_;
  Node const& n = *node(link);
  ++result_.counts["reads"];
  if (plan_.mutation == Mutation::staleRead) {
    std::map<std::string, consensus::CommittedValue> const& have = n.control->registers().committed();
    auto const it = have.find(config::fleetConfigurationKey);
    QJsonObject const spec = it == have.end() ? QJsonObject() : it->second.value.value("spec").toObject();
    checkRead(link, confirmed, it == have.end() ? 404 : 200, QJsonObject{{"version", spec.value("version")}});
    return;
  }
  transport::OperatorCall call;
  call.method = "GET";
  call.path = config::fleetConfigurationPage;
  sendOperatorCall(link, call, 10000, [this, link, confirmed](int status, QJsonObject const& body) {
    checkRead(link, confirmed, status, body);
  });
}

void SimulatedCluster::checkRead(std::string const& link, std::uint64_t confirmed, int status,
                                 QJsonObject const& body) {
  if (isInconclusive(status)) {
    ++result_.counts["reads-unclear"];
    return;
  }
  auto const version = static_cast<std::uint64_t>(body.value("version").toInteger());
  if (!success(status) && confirmed > 0)
    violation("a read was rejected with " + std::to_string(status) + " by " + link + " though " +
              std::to_string(confirmed) + " was confirmed");
  if (success(status) && version < confirmed)
    violation("a read at " + link + " showed " + std::to_string(version) + ", confirmed before it began was " +
              std::to_string(confirmed));
}

void SimulatedCluster::onFleetConfigurationCommitted(Node const& n) {
  std::map<std::string, consensus::CommittedValue> const& have = n.control->registers().committed();
  auto const it = have.find(config::fleetConfigurationKey);
  if (it == have.end()) return;
  if (!firstFleetConfiguration_)
    firstFleetConfiguration_ =
        transport::CommittedEntry{config::fleetConfigurationKey, it->second.revision, it->second.value};
  std::uint64_t const revision = it->second.revision;
  std::uint64_t version =
      static_cast<std::uint64_t>(it->second.value.value("spec").toObject().value("version").toInteger());
  if (plan_.mutation == Mutation::foreignBody && n.link == "s1") ++version;
  auto const known = committedVersions_.find(revision);
  if (known != committedVersions_.end()) {
    if (known->second != version)
      violation("two fleet configurations under revision " + std::to_string(revision) + ": " +
                std::to_string(known->second) + " and " + std::to_string(version));
    return;
  }
  committedVersions_[revision] = version;
  for (std::size_t i = 0; i < configurationChanges_.size(); ++i)
    if (configurationChanges_[i].version == version) changeOfRevision_[revision] = i;
}

void SimulatedCluster::checkFinalFleetConfiguration() {
  std::map<std::string, std::string> accepted;
  for (ConfigurationChange const& o : configurationChanges_) {
    if (o.acknowledgedAt < 0) continue;
    std::string& before = accepted[o.base];
    if (!before.empty())
      violation("two changes of the fleet configuration on version " + o.base + " were confirmed: " + before + " and " +
                o.id);
    before = o.id;
  }
  for (std::pair<std::uint64_t const, std::size_t> const& c : changeOfRevision_) {
    auto const earlier = committedVersions_.find(c.first - 1);
    if (earlier != committedVersions_.end() && std::to_string(earlier->second) != configurationChanges_[c.second].base)
      violation("change " + configurationChanges_[c.second].id + " on " + configurationChanges_[c.second].base +
                " follows version " + std::to_string(earlier->second));
  }
  std::string const link = chooseController();
  if (link.empty()) return;
  transport::OperatorCall call;
  call.method = "GET";
  call.path = config::fleetConfigurationPage;
  sendOperatorCall(link, call, 10000, [this](int status, QJsonObject const& body) {
    auto const version = static_cast<std::uint64_t>(body.value("version").toInteger());
    if (!success(status) && confirmedVersion_ > 0)
      violation("the fleet configuration could not be read back: " + std::to_string(status));
    else if (version < confirmedVersion_)
      violation("acknowledged fleet configuration lost: version " + std::to_string(version) + ", acknowledged " +
                std::to_string(confirmedVersion_));
  });
}

}  // namespace corkward::testing
