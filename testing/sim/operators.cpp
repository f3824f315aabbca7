#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

std::string SimulatedCluster::chooseController() {
  for (std::string const& link : cutOffControllers_)
    if (Node const* const n = node(link); n != nullptr && n->control && n->alive && !n->draining) return link;
  std::vector<std::string> up;
  for (auto const& [address, machine] : nodes_)
    if (machine.control && machine.alive && !machine.draining) up.push_back(address);
  return up.empty() ? "" : up[rng_.below(up.size())];
}

void SimulatedCluster::change(std::string const& key, std::string const& what, std::string const& method,
                              std::string const& path, std::string const& body, std::string const& ifMatch,
                              std::string const& mark, std::function<void(int, QJsonObject const&)> then) {
  std::string const link = chooseController();
  std::size_t const ix = changes_.size();
  Change c;
  c.id = "ch" + std::to_string(nextChange_++);
  c.key = key;
  c.what = what;
  c.ifMatch = ifMatch;
  c.mark = mark;
  c.sentAt = now_;
  changes_.push_back(c);
  if (link.empty()) {
    if (then) then(0, {});
    return;
  }
  transport::OperatorCall call;
  call.token = nextCall_++;
  call.method = method;
  call.path = path;
  call.ifMatch = ifMatch;
  call.changeId = c.id;
  call.body = body;
  Node const& to = *node(link);
  if (plan_.mutation == Mutation::rewriteIfMatch && key == family && !ifMatch.empty() &&
      to.control->registers().committed().count(family) > 0) {
    QJsonObject const t = to.control->registers().committed().at(family).value.value("template").toObject();
    call.ifMatch = std::to_string(t.value("stamp").toInteger());
  }
  std::uint64_t const incarnation = to.incarnation;
  std::shared_ptr<bool> const answered = std::make_shared<bool>(false);
  bool const isChange = method != "GET";
  answers_[{link, call.token}] = [this, ix, answered, then, isChange](int status, QJsonObject const& answer) {
    *answered = true;
    Change& k = changes_[ix];
    if (plan_.mutation == Mutation::rejectAccepted && status == 200 && k.key == family) status = 412;
    k.status = status;
    k.answeredAt = now_;
    k.revision = static_cast<std::uint64_t>(answer.value("stamp").toInteger());
    k.rolledOut = (status == 200 || status == 201) && (!plan_.fenced || answer.value("inForce").toBool());
    k.pending = status == 504 && answer.value("pending").toBool();
    if (status >= 400 && !k.pending) k.revision = 0;
    if (status >= 200 && status < 300 && isChange && !k.rolledOut)
      violation("answered " + std::to_string(status) + " although not in force: " + k.id);
    bool const refused = status == 400 || status == 404 || status == 422;
    if (plan_.operators.rejectionsChecked && refused && k.key == family && k.mark.rfind("denied-", 0) != 0)
      violation("a valid template change was rejected with " + std::to_string(status) + ": " +
                core::toStdString(answer.value("pointer").toString() + " " + answer.value("reason").toString()));
    ++result_.counts["change-" + std::to_string(status)];
    if (status == 200 || status == 201) result_.ackTimes.push_back(now_ - k.sentAt);
    if (status == 200 && k.key.rfind("zone:", 0) == 0)
      result_.counts["evacuation-ack-most"] =
          std::max(result_.counts["evacuation-ack-most"], static_cast<std::size_t>(now_ - k.sentAt));
    if (then) then(status, answer);
  };
  after(2, [this, link, incarnation, call] {
    deliverToNode(link, incarnation, [this, link, call] {
      Node& k = *node(link);
      run(k, k.control->onOperatorCall(local(k), call));
    });
  });
  after(14000, [this, link, token = call.token, answered, ix, then] {
    answers_.erase({link, token});
    if (*answered) return;
    ++result_.counts["change-no-answer"];
    changes_[ix].status = 0;
    if (then) then(0, {});
  });
}

void SimulatedCluster::putTemplate(std::string const& ifMatch, int extraPaths,
                                   std::function<void(int, QJsonObject const&)> then) {
  std::string const mark = "mark-" + std::to_string(nextChange_);
  QJsonArray paths;
  paths.append(QJsonObject{{"path", "narrate"}, {"pool", "model"}, {"class", "long"}});
  paths.append(QJsonObject{{"path", "pitch"}, {"pool", "model"}, {"class", "short"}});
  paths.append(QJsonObject{{"path", "digest"}, {"pool", "model"}, {"class", "short"}, {"resumable", true}});
  paths.append(QJsonObject{{"path", "ack"}, {"pool", "other"}, {"class", "urgent"}});
  paths.append(QJsonObject{{"path", core::toQString(mark)}, {"pool", "model"}, {"class", "short"}});
  if (plan_.regimes)
    paths.append(
        QJsonObject{{"path", "tale"}, {"pool", "model"}, {"class", "long"}, {"resumable", true}, {"events", true}});
  for (int i = 0; i < extraPaths; ++i)
    paths.append(
        QJsonObject{{"path", core::toQString("extra/p" + std::to_string(i))}, {"pool", "model"}, {"class", "short"}});
  QJsonObject const spec{{"note", core::toQString(mark)},
                         {"parameters", QJsonObject{{"site", QJsonObject{{"type", "string"}}}}},
                         {"paths", paths}};
  change(family, core::jsonText(spec), "PUT", templatePath, core::jsonText(spec), ifMatch, mark,
         [this, then, mark](int status, QJsonObject const& body) {
           if (status == 200 || status == 201 || body.value("pending").toBool()) {
             lastRevision_ = std::to_string(body.value("stamp").toInteger());
             lastMark_ = mark;
           }
           if (status == 412) lastRevision_ = std::to_string(body.value("stamp").toInteger());
           if (then) then(status, body);
         });
}

void SimulatedCluster::changeTemplatePeriodically() {
  if (loadStopped_) return;
  after(1500 + static_cast<Milliseconds>(rng_.below(2500)), [this] { changeTemplatePeriodically(); });
  if (templateChangePending_) return;
  templateChangePending_ = true;
  putTemplate(lastRevision_, 0, [this](int, QJsonObject const&) { templateChangePending_ = false; });
}

void SimulatedCluster::publishEndpointLists() {
  ++generation_;
  if (plan_.listReader) return;
  for (char const* const pool : {"model", "other"}) {
    QJsonArray list;
    std::vector<std::string> leaving;
    for (auto& [address, replica] : replicas_) {
      if (replica.pool != pool) continue;
      if (replica.listed && replica.state != "leaving")
        replica.leavingPublishedAt = -1;
      else
        leaving.push_back(address);
      if (!replica.listed) continue;
      QJsonObject listEntry{{"address", core::toQString(address)},
                            {"zone", core::toQString(replica.zone)},
                            {"state", core::toQString(replica.state)}};
      if (plan_.regimes) {
        listEntry.insert("id", core::toQString(incarnationName(replica)));
        listedIncarnations_[address] = incarnationName(replica);
        everListedIncarnations_.insert(incarnationName(replica));
      }
      list.append(listEntry);
    }
    publishEndpointList(
        pool, generation_, leaving,
        core::jsonText(
            QJsonObject{{"generation", static_cast<qint64>(generation_)}, {"coldRate", coldRate}, {"replicas", list}}));
  }
}

void SimulatedCluster::publishEndpointList(std::string const& pool, std::uint64_t generation,
                                           std::vector<std::string> const& leaving, std::string const& body) {
  if (generation != generation_) return;
  std::shared_ptr<bool> const done = std::make_shared<bool>(false);
  auto const shown = [this, leaving, generation] {
    for (std::string const& a : leaving)
      if (generation == generation_ && replicas_.at(a).leavingPublishedAt < 0)
        replicas_.at(a).leavingPublishedAt = now_;
  };
  if (!chooseController().empty()) shown();
  change("pool:" + pool, body, "PUT", "/v1/platform/pools/" + pool, body, "", "",
         [done](int status, QJsonObject const&) {
           if (status == 200) *done = true;
         });
  std::vector<std::string> up;
  for (auto const& [address, machine] : nodes_)
    if (machine.data && machine.alive) up.push_back(address);
  for (int i = 0; i < 2 && !up.empty(); ++i) {
    std::string const link = up[rng_.below(up.size())];
    shown();
    if (plan_.mutation == Mutation::dropRemovalHints) continue;
    after(2, [this, link, incarnation = node(link)->incarnation, pool, body] {
      deliverToNode(link, incarnation, [this, link, pool, body] {
        Node& n = *node(link);
        run(n, n.data->onEndpointList(local(n), 0, pool, body));
      });
    });
  }
  after(600, [this, pool, generation, leaving, body, done] {
    if (!*done) publishEndpointList(pool, generation, leaving, body);
  });
}

}  // namespace corkward::testing
