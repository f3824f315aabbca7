#pragma once

/// One validator for each kind of target. validateCall() selects the validator by the key.
///
/// Each validator is a pure function of the key's committed value and the call. The value that it gets contains the
/// key's history only if the validator uses the history.

#include <QJsonObject>
#include <cstdint>

#include <corkward/control/validator.h>

#include "validation_result.h"

namespace corkward::control {

/// Input of a validator.
struct ValidationRequest {
  /// Newest revision of the key, or 0 if it has no value.
  std::uint64_t revision = 0;
  QJsonObject const& value;
  transport::OperatorCall const& call;

  /// Returns the revision that the key has once the call's change is committed.
  std::uint64_t nextRevision() const { return revision + 1; }
};

/// Validates calls on templates and their instances. The value is the family, with its history.
ValidationResult validateFamily(ValidationRequest const& request, ClusterView const& clusterView);

/// Validates calls on the fleet configuration, whose versions the operators choose. The value contains the history.
ValidationResult validateFleetConfiguration(ValidationRequest const& request);

/// Returns an upper bound of the length of the fleet configuration's text after a change, in bytes, without serializing
/// the configuration.
/// @param bytesBefore the same bound before the change
std::int64_t fleetConfigurationBytes(std::int64_t bytesBefore, transport::OperatorCall const& call);

/// Validates calls on endpoint lists. If a controller reads a list from the platform itself, its call contains in
/// If-Match the revision of the list that was committed at this controller when it made the call, so that a call
/// delayed by a network partition does not overwrite a newer list. A call without If-Match, as for a list that the
/// platform sends, is not compared with a revision.
ValidationResult validateEndpointList(ValidationRequest const& request);

/// Validates calls on evacuations of zones. Operators' calls name no base. The controller that receives such a call
/// adds the revision that is committed at this controller, so that a delayed call is not applied after a later one.
ValidationResult validateEvacuation(ValidationRequest const& request);

/// Validates calls on regimes and certificates, which share one revision. A certificate can be revoked by its name. The
/// value contains the history.
ValidationResult validateCertificates(ValidationRequest const& request, ClusterView const& clusterView);

/// Validates calls on alerts, which operators' programs claim and close.
ValidationResult validateAlert(ValidationRequest const& request);

/// Validates calls on the roster: a controller's own proposal, or an operator's declaration that a router has departed.
ValidationResult validateRoster(ValidationRequest const& request);

}  // namespace corkward::control
