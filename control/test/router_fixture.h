#pragma once

#include <QJsonArray>
#include <string>
#include <vector>

#include <corkward/control/roster.h>
#include <corkward/control/router_registry.h>
#include <corkward/core/json.h>

namespace corkward::control {

inline transport::Contact routerContact(std::string const& link, std::uint64_t incarnation = 1) {
  transport::Contact contact;
  contact.link = link;
  contact.role = transport::routerRole;
  contact.incarnation = incarnation;
  return contact;
}

inline transport::ServingLeaseRequest leaseRequest(std::string const& link, bool wantsSnapshot = false) {
  transport::ServingLeaseRequest request;
  request.sender = routerContact(link);
  request.wantsSnapshot = wantsSnapshot;
  return request;
}

/// Adds a router that has a session and is up to date.
inline RouterRegistry::Router& addRouter(RouterRegistry& routers, Milliseconds now, std::string const& link) {
  RouterRegistry::Router& router = *routers.recordContact(now, link, 1);
  routers.recordRequest(now, leaseRequest(link));
  router.markUpToDate();
  return router;
}

inline QJsonArray nodesJson(std::vector<std::string> const& links) {
  QJsonArray nodes;
  for (std::string const& link : links) nodes.append(QJsonObject{{"link", core::toQString(link)}});
  return nodes;
}

inline Roster rosterOf(Milliseconds now, std::uint64_t revision, std::vector<std::string> const& nodes,
                       std::vector<std::string> const& previousNodes = {}) {
  Roster roster;
  roster.load(now, revision, QJsonObject{{"nodes", nodesJson(nodes)}, {"previous", nodesJson(previousNodes)}});
  return roster;
}

inline CommittedValues valuesOf(transport::Revisions const& revisions) {
  CommittedValues values;
  for (auto const& [key, revision] : revisions) values[key] = consensus::CommittedValue{key, revision, {}};
  return values;
}

}  // namespace corkward::control
