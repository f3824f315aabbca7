#include <algorithm>

#include <corkward/config/regimes.h>
#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>

#include "internal.h"

namespace corkward::testing {

bool SimulatedCluster::majorityOfRoutersLiveSince(Milliseconds since) const {
  std::size_t all = 0;
  std::size_t live = 0;
  for (auto const& [link, node] : nodes_) {
    all += node.disk ? 0 : 1;
    live += node.data && node.alive && node.bootedAt < since ? 1 : 0;
  }
  return live >= all / 2 + 1;
}

void SimulatedCluster::violation(std::string const& what) {
  if (++violationKinds_[what.substr(0, 16)] <= 3)
    result_.violations.push_back("t=" + std::to_string(now_) + " " + what);
}

void SimulatedCluster::checkPeriodically() {
  after(200, [this] { checkPeriodically(); });
  for (std::string const& broken : core::GuaranteeCounts::ofThread().takeNewViolations()) violation(broken);
  while (!firstDispatches_.empty() && firstDispatches_.front() <= now_ - 10000) firstDispatches_.pop_front();
  while (!repeatedDispatches_.empty() && repeatedDispatches_.front() <= now_ - 10000) repeatedDispatches_.pop_front();
  if (static_cast<double>(repeatedDispatches_.size()) > 0.2 * static_cast<double>(firstDispatches_.size()) + 20.0)
    violation("repeats " + std::to_string(repeatedDispatches_.size()) + " over first dispatches " +
              std::to_string(firstDispatches_.size()) + " in 10 s");
  for (auto const& r : replicas_) {
    if (r.second.state != "cold") continue;
    auto const n = static_cast<std::size_t>(std::count_if(r.second.coldHits.begin(), r.second.coldHits.end(),
                                                          [&](Milliseconds t) { return t > now_ - 3000; }));
    if (static_cast<double>(n) > 3.0 * coldRate + 1.0)
      violation("cold replica " + r.first + " had " + std::to_string(n) + " requests in 3 s");
  }
  std::set<std::string> rejected;
  for (Change const& c : changes_)
    if (c.key == family && c.status >= 400 && c.status < 500 && !c.mark.empty()) rejected.insert(c.mark);
  for (auto const& [link, node] : nodes_) {
    if (!node.alive || !node.data) continue;
    std::string const logEvent = core::toStdString(node.data->configurationValue(family)
                                                       .value("template")
                                                       .toObject()
                                                       .value("spec")
                                                       .toObject()
                                                       .value("note")
                                                       .toString());
    if (rejected.count(logEvent) > 0) violation("a rejected change is in effect: " + logEvent);
    for (std::pair<std::size_t, std::size_t> const& part : node.data->subsetSizes("model")) {
      result_.subsetSum += static_cast<double>(part.first);
      ++result_.subsetSamples;
      result_.counts["held-most"] = std::max(result_.counts["held-most"], part.second);
    }
    checkStalls(link, node);
    ++result_.counts["standing-looks"];
    if (node.data->servingLease(local(node))) ++result_.counts["standing-held"];
  }
}

void SimulatedCluster::checkStalls(std::string const& link, Node const& node) {
  std::map<std::string, std::uint64_t> const& counts = node.data->journal().counts();
  auto const stalls = counts.find("requests-stalled");
  if (stalls != counts.end() && stalls->second > 0)
    violation(link + " rejects every request with nothing in flight, although a replica is usable");
}

void SimulatedCluster::checkFinalState() {
  std::map<std::pair<std::string, std::string>, std::string> accepted;
  std::uint64_t newest = 0;
  Change const* last = nullptr;
  std::uint64_t newestCertificates = 0;
  for (Change const& c : changes_) {
    if (c.key == config::regimesKey && c.revision > 0 && c.rolledOut)
      newestCertificates = std::max(newestCertificates, c.revision);
    if (c.key == config::regimesKey && c.ifMatch.empty()) continue;
    if ((c.key.rfind("family:", 0) != 0 && c.key != config::regimesKey) || c.revision == 0 ||
        !(c.status == 200 || c.status == 201 || c.pending))
      continue;
    std::string& before = accepted[{c.key, c.ifMatch}];
    if (!before.empty()) violation("two changes built on " + c.ifMatch + " of " + c.key + " were both accepted");
    before = c.id;
    if (c.key == family && c.revision > newest) {
      newest = c.revision;
      last = &c;
    }
  }
  result_.counts["grey-hits"] = static_cast<std::size_t>(greyHits_);
  result_.counts["grey-fair"] = static_cast<std::size_t>(greyExpected_);
  bool const alone = plan_.faults == std::vector<Fault>{Fault::greyReplicas};
  if (alone && greyExpected_ >= 30 && greyHits_ > greyMaxFraction * greyExpected_)
    violation("grey replicas still received requests: " + std::to_string(greyHits_) +
              " requests, an even distribution gives " + std::to_string(greyExpected_));
  std::shared_ptr<bool> const read = std::make_shared<bool>(false);
  std::string const link = chooseController();
  if (link.empty()) {
    violation("no controller is alive at the end");
    return;
  }
  std::uint64_t const token = nextCall_++;
  std::string const want = last == nullptr ? "" : last->what;
  answers_[{link, token}] = [this, read, newest, want](int status, QJsonObject const& body) {
    *read = true;
    auto const revision = static_cast<std::uint64_t>(body.value("stamp").toInteger());
    if (status != 200) violation("the configuration could not be read back: " + std::to_string(status));
    if (revision < newest)
      violation("acknowledged change lost: revision " + std::to_string(revision) + ", acknowledged " +
                std::to_string(newest));
    if (revision == newest && newest > 0 && body.value("spec").toObject() != core::parseJson(want).toObject())
      violation("an acknowledged change was altered");
    if (revision > newest) {
      bool unknown = false;
      for (Change const& c : changes_)
        unknown = unknown || (c.key == family && (c.status == 504 || c.status == 0) &&
                              core::jsonText(body.value("spec")) ==
                                  core::jsonText(core::parseJson(c.what.empty() || c.what[0] != '{' ? "{}" : c.what)));
      if (!unknown) violation("a change that was never acknowledged is in effect");
    }
  };
  if (newestCertificates > 0) {
    transport::OperatorCall certificatesCall;
    certificatesCall.token = nextCall_++;
    certificatesCall.method = "GET";
    certificatesCall.path = "/v1/certificates";
    answers_[{link, certificatesCall.token}] = [this, newestCertificates](int status, QJsonObject const& body) {
      ++result_.counts["certificates-read"];
      if (status != 200 || static_cast<std::uint64_t>(body.value("stamp").toInteger()) < newestCertificates)
        violation("acknowledged certificates lost: status " + std::to_string(status) + ", revision " +
                  std::to_string(body.value("stamp").toInteger()) + ", acknowledged " +
                  std::to_string(newestCertificates));
    };
    Node& at = *node(link);
    run(at, at.control->onOperatorCall(local(at), certificatesCall));
  }
  transport::OperatorCall call;
  call.token = token;
  call.method = "GET";
  call.path = templatePath;
  Node& n = *node(link);
  run(n, n.control->onOperatorCall(local(n), call));
  after(12000, [this, read] {
    if (!*read) violation("the configuration could not be read back: no answer");
    std::size_t servingLease = 0;
    std::size_t all = 0;
    for (auto const& [address, machine] : nodes_) {
      if (!machine.data) continue;
      ++all;
      servingLease += machine.alive && machine.data->servingLease(local(machine)) ? 1 : 0;
    }
    std::set<std::size_t> sizes;
    std::size_t voting = 0;
    std::size_t disks = 0;
    for (auto const& [name, process] : nodes_) {
      if (!process.control) continue;
      consensus::ReplicatedRegisters const& m = process.control->registers();
      ++disks;
      sizes.insert(m.membership().size());
      voting += m.isVoting() && std::any_of(m.membership().begin(), m.membership().end(),
                                            [&](consensus::Member const& c) { return c.id == m.self().id; })
                    ? 1
                    : 0;
    }
    if (voting < disks || sizes != std::set<std::size_t>{disks})
      violation("only " + std::to_string(voting) + " of " + std::to_string(disks) +
                " disks vote after all was healed, the membership is of " + std::to_string(*sizes.begin()) + " to " +
                std::to_string(*sizes.rbegin()));
    if (servingLease < all)
      violation("only " + std::to_string(servingLease) + " of " + std::to_string(all) +
                " routers serve after all was healed");
  });
}

}  // namespace corkward::testing
