// Pages answered from what this controller knows, once a majority has confirmed that it is current.
#include <QJsonArray>
#include <algorithm>

#include "internal.h"

namespace corkward::control {

OperatorResponse Controller::templatesPage(transport::OperatorCall const& call) const {
  QJsonArray names;
  for (std::map<std::string, consensus::CommittedValue>::value_type const& c : registers_.committed())
    if (c.first.rfind("family:", 0) == 0 && c.second.value.contains("template"))
      names.append(core::toQString(c.first.substr(7)));
  return {call.token, 200, {{"templates", names}}};
}

OperatorResponse Controller::changePage(Tick now, transport::OperatorCall const& call) const {
  QString const id = core::toQString(call.path.substr(changesPage.size()));
  for (std::map<std::string, consensus::CommittedValue>::value_type const& c : registers_.committed())
    for (QJsonValue const v : c.second.value.value("changes").toArray()) {
      QJsonObject const change = v.toObject();
      if (change.value("id").toString() != id) continue;
      QJsonObject body{{"changeId", id},
                       {"key", core::toQString(c.first)},
                       {"status", change.value("status")},
                       {"stamp", change.value("stamp")}};
      if (change.contains("version")) body.insert("version", change.value("version"));
      if (!tuning_.awaitRollout) return {call.token, 200, body};
      body.insert("inForce", true);
      std::map<std::string, Settling>::const_iterator const s = settling_.find(c.first);
      bool const force =
          s != settling_.end() && s->second.revision == c.second.revision && isInForce(now, c.first, s->second);
      if (force) return {call.token, 200, body};
      return {call.token, 504, pendingBody(body, static_cast<std::uint64_t>(change.value("stamp").toInteger()))};
    }
  return {call.token,
          404,
          {{"error", "not found"},
           {"reason", "not accepted so far; final once a later change of the same template was accepted"}}};
}

bool Controller::contactBeganAfter(Tick now, Tick moment) const {
  Tick const age = registers_.quorumContactAge(now);
  return !draining_ && age >= 0 && now - age >= moment;
}

void Controller::answerQuestions(ControllerCommands& out, Tick now) {
  std::vector<Question> waiting;
  for (Question& q : questions_) {
    if (contactBeganAfter(now, q.since))
      out.responses.push_back(q.call.path == templatesPath ? templatesPage(q.call) : changePage(now, q.call));
    else if (draining_ || now - q.since > tuning_.quorumConfirmationTimeout)
      out.responses.push_back(OperatorResponse{q.call.token, 503, outOfContact()});
    else
      waiting.push_back(std::move(q));
  }
  questions_ = std::move(waiting);
}

void Controller::answerOutOfContact(ControllerCommands& out, Tick now) {
  std::vector<std::uint64_t> cutOff;
  for (std::map<std::uint64_t, CallState>::value_type const& c : calls_) {
    CallState const& state = c.second;
    bool const ofOperator = state.from.empty() && state.token != 0;
    if (ofOperator && now - state.since > tuning_.quorumConfirmationTimeout && !contactBeganAfter(now, state.since))
      cutOff.push_back(c.first);
  }
  for (std::uint64_t const id : cutOff) {
    if (isChange(calls_.at(id).call.method))
      finish(out, now, id, 504,
             {{"error", "unknown"}, {"reason", "no majority was reached in time; ask by the change id"}});
    else
      finish(out, now, id, 503, outOfContact());
  }
}

}  // namespace corkward::control
