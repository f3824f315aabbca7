#include <corkward/control/roster.h>

#include <QJsonArray>
#include <algorithm>
#include <iterator>

#include <corkward/core/json.h>

#include "json_fields.h"

namespace corkward::control {

namespace {

/// Returns the link of a node, which is stored as an object, or of a departed node, which is stored as a string.
std::string linkOf(QJsonValue const& node) {
  return core::toStdString(node.isString() ? node.toString() : node.toObject().value(fields::link).toString());
}

std::set<std::string> linksOf(QJsonArray const& nodes) {
  std::set<std::string> links;
  for (QJsonValue const node : nodes) links.insert(linkOf(node));
  return links;
}

RosterNode nodeOf(QJsonValue const& node) {
  QJsonObject const json = node.toObject();
  return RosterNode{linkOf(node), core::toStdString(json.value(fields::httpAddress).toString()),
                    core::toStdString(json.value(fields::zone).toString())};
}

QJsonObject jsonOf(RosterNode const& node) {
  return QJsonObject{{fields::link, core::toQString(node.link)},
                     {fields::httpAddress, core::toQString(node.httpAddress)},
                     {fields::zone, core::toQString(node.zone)}};
}

}  // namespace

RosterValue RosterValue::parse(QJsonObject const& value) {
  RosterValue parsed;
  for (QJsonValue const node : value.value(fields::nodes).toArray()) parsed.nodes.push_back(nodeOf(node));
  parsed.previousNodes = linksOf(value.value(fields::previousNodes).toArray());
  parsed.departed = linksOf(value.value(fields::departed).toArray());
  return parsed;
}

QJsonObject RosterValue::proposalJson() const {
  QJsonArray nodeList;
  for (RosterNode const& node : nodes) nodeList.append(jsonOf(node));
  QJsonArray departedList;
  for (std::string const& link : departed) departedList.append(core::toQString(link));
  return QJsonObject{{fields::nodes, nodeList}, {fields::departed, departedList}};
}

void Roster::load(Milliseconds now, std::uint64_t revision, QJsonObject const& value) {
  value_ = RosterValue::parse(value);
  revision_ = revision;
  committedAt_ = now;
  nodes_.clear();
  for (RosterNode const& node : value_.nodes) nodes_.insert(node.link);
  bitPositions_.clear();
  std::set_union(nodes_.begin(), nodes_.end(), value_.previousNodes.begin(), value_.previousNodes.end(),
                 std::back_inserter(bitPositions_));
}

}  // namespace corkward::control
