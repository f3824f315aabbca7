#include "singleton_roles.h"

#include <QJsonArray>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "call_method.h"
#include "json_fields.h"
#include "paths.h"
#include "responses.h"

namespace corkward::control {

namespace {

/// Distinguishes the leases of roles from those of replicas in the lease table. It is not sent to other processes.
constexpr char const* leaseNamePrefix = "duty ";
constexpr std::size_t maxNameBytes = 64;
/// The holder of a role is identified by its name alone, so its incarnation is constant. It is not 0, which denotes a
/// successor in the lease table.
constexpr std::uint64_t holderIncarnation = 1;

/// The holder and the successor that a call names.
struct RoleRequest {
  std::string holder;
  std::string successor;

  bool isValid() const { return !holder.empty() && holder.size() <= maxNameBytes && successor.size() <= maxNameBytes; }
};

/// Parses the body of a call on a role.
/// @throws core::JsonError if the text is not JSON
RoleRequest readRequest(std::string const& text) {
  QJsonObject const body = core::parseJson(text).toObject();
  return RoleRequest{core::toStdString(body.value("holder").toString()),
                     core::toStdString(body.value("successor").toString())};
}

OperatorResponse invalidRequest(std::uint64_t token) {
  return respond(token, core::HttpStatus::unprocessableContent,
                 {{fields::error, "not a valid duty"},
                  {fields::reason, "holder must be a name of 1 to 64 bytes"},
                  {fields::pointer, "/holder"}});
}

OperatorResponse cannotGrant(std::uint64_t token) {
  return respond(token, core::HttpStatus::serviceUnavailable,
                 {{fields::error, "not granted"},
                  {fields::reason, "not in touch with a majority, or started too lately to know who has it"}});
}

OperatorResponse tooManyRoles(std::uint64_t token) {
  return respond(token, core::HttpStatus::serviceUnavailable,
                 {{fields::error, "not granted"}, {fields::reason, "too many duties"}});
}

QJsonArray textArray(std::vector<std::string> const& texts) {
  QJsonArray out;
  for (std::string const& text : texts) out.append(core::toQString(text));
  return out;
}

QJsonObject grantBody(LeaseTable::Grant const& grant, std::vector<std::string> const& contenders,
                      SingletonRoleContext const& context) {
  std::vector<std::string> members;
  for (consensus::Member const& member : context.membership) members.push_back(member.id);
  return QJsonObject{{"granted", grant.granted},
                     {"holder", core::toQString(grant.holder)},
                     {"epoch", static_cast<qint64>(grant.term)},
                     {"member", core::toQString(context.memberId)},
                     {"cohort", textArray(members)},
                     {"waiting", textArray(contenders)},
                     {"cohortStamp", static_cast<qint64>(context.membershipRevision)}};
}

OperatorResponse acquireRole(Milliseconds now, LeaseTable& leases, LeaseTable::Claim const& claim, std::uint64_t token,
                             SingletonRoleContext const& context) {
  std::optional<LeaseTable::Grant> const grant =
      context.mayGrant ? leases.acquire(now, claim) : std::optional<LeaseTable::Grant>();
  if (!grant) return cannotGrant(token);
  if (!grant->granted) leases.addContender(now, claim);
  return respond(token, core::HttpStatus::ok, grantBody(*grant, leases.contenders(now, claim), context));
}

}  // namespace

std::optional<std::string> singletonRoleOf(std::string const& path) {
  if (path.rfind(paths::singletonRoles, 0) != 0) return std::nullopt;
  std::string const name = path.substr(paths::singletonRoles.size());
  if (!config::isValidName(name)) return std::nullopt;
  return name;
}

OperatorResponse singletonRoleEndpoint(Milliseconds now, LeaseTable& leases, std::string const& role,
                                       transport::OperatorCall const& call, SingletonRoleContext const& context) {
  std::string const leaseName = leaseNamePrefix + role;
  if (leases.isFull(leaseName)) return tooManyRoles(call.token);
  CallMethod const method = methodOf(call.method);
  if (method != CallMethod::put && method != CallMethod::remove) return methodNotAllowed(call.token);
  RoleRequest request;
  try {
    request = readRequest(call.body);
  } catch (core::JsonError const& error) {
    return respond(call.token, core::HttpStatus::badRequest,
                   {{fields::error, "malformed"}, {fields::reason, error.what()}, {fields::pointer, "/"}});
  }
  if (!request.isValid()) return invalidRequest(call.token);
  LeaseTable::Claim const claim{leaseName, request.holder, holderIncarnation, context.leaseDuration};
  if (method == CallMethod::put) return acquireRole(now, leases, claim, call.token, context);
  leases.release(now, claim, request.successor);
  return respond(call.token, core::HttpStatus::ok, {{"granted", false}});
}

}  // namespace corkward::control
