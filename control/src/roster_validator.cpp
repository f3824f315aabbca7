// Validator of the roster. Controllers propose the roster when routers join or leave; operators declare that a router
// has permanently departed.
#include <QJsonArray>

#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

/// Largest number of departed routers on a roster. Beyond it the oldest ones are dropped.
constexpr qsizetype maxDeparted = 64;

bool isNode(QJsonValue const& node, QString const& link) {
  return node.toObject().value(fields::link).toString() == link;
}

bool contains(QJsonArray const& nodes, QString const& link) {
  for (QJsonValue const node : nodes)
    if (isNode(node, link)) return true;
  return false;
}

QJsonArray without(QJsonArray const& nodes, QString const& link) {
  QJsonArray others;
  for (QJsonValue const node : nodes)
    if (!isNode(node, link)) others.append(node);
  return others;
}

ValidationResult validateDeparture(ValidationRequest const& request) {
  QString const link = core::toQString(targetOf(request.call.path)->entry);
  QJsonArray const nodes = request.value.value(fields::nodes).toArray();
  QJsonArray departed = request.value.value(fields::departed).toArray();
  if (departed.contains(link)) return Replay{core::code(core::HttpStatus::ok), request.revision};
  bool const isKnown = contains(nodes, link) || contains(request.value.value(fields::previousNodes).toArray(), link);
  if (!isKnown) return Rejection{RejectionReason::notFound, "no such node on the roster"};
  departed.append(link);
  while (departed.size() > maxDeparted) departed.removeFirst();
  AcceptedChange accepted{
      QJsonObject{{fields::nodes, without(nodes, link)}, {fields::departed, departed}, {fields::previousNodes, nodes}}};
  accepted.revision = request.nextRevision();
  return accepted;
}

}  // namespace

ValidationResult validateRoster(ValidationRequest const& request) {
  auto const& [revision, value, call] = request;
  if (methodOf(call.method) == CallMethod::remove) return validateDeparture(request);
  if (!isBuiltOn(call, revision)) return Rejection{RejectionReason::staleRevision, "the roster has moved on"};
  AcceptedChange accepted{core::parseJson(call.body).toObject()};
  accepted.value.insert(fields::previousNodes, value.value(fields::nodes).toArray());
  return accepted;
}

}  // namespace corkward::control
