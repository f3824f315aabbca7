#pragma once

/// One validator for each kind of target; validateCall chooses among them.
///
/// Each is a pure function of the key's committed value and the call. A value is given with its history where the
/// validator consults the history, and without it otherwise.

#include <QJsonObject>
#include <cstdint>

#include <corkward/control/validator.h>

#include "validation_result.h"

namespace corkward::control {

/// Input of a validator.
struct ValidationRequest {
  /// Newest revision of the key; 0: it has no value.
  std::uint64_t revision = 0;
  QJsonObject const& value;
  transport::OperatorCall const& call;

  /// Revision that the key has once the call's change is committed.
  std::uint64_t nextRevision() const { return revision + 1; }
};

/// Templates and their instances. The value is the family, with its history.
ValidationResult validateFamily(ValidationRequest const& request, ClusterView const& clusterView);

/// The fleet configuration, under operators' own versions. With its history.
ValidationResult validateFleetConfiguration(ValidationRequest const& request);

/// Upper bound of the fleet configuration's text after a change, in bytes, without writing it out.
/// @param bytesBefore the same bound before the change
std::int64_t fleetConfigurationBytes(std::int64_t bytesBefore, transport::OperatorCall const& call);

/// Endpoint lists. A list that a controller has read itself names the revision that it knew when it read, so that one
/// delayed by a partition does not overwrite what was read meanwhile. Lists that the platform sends name none.
ValidationResult validateEndpointList(ValidationRequest const& request);

/// Evacuations of zones. Such a call names no base: the controller that it came in at adds the revision that it knew
/// then, so that a delayed call is not carried out after a later one.
ValidationResult validateEvacuation(ValidationRequest const& request);

/// Regimes and certificates, under one revision; a certificate may be revoked by its name. With their history.
ValidationResult validateCertificates(ValidationRequest const& request, ClusterView const& clusterView);

/// Alerts that operators' programs claim and close.
ValidationResult validateAlert(ValidationRequest const& request);

/// The roster: a controller's own proposal, or an operator's declaration that a node has departed.
ValidationResult validateRoster(ValidationRequest const& request);

}  // namespace corkward::control
