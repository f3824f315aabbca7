#pragma once

/// Lookups in the committed values of the replicated registers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/consensus/types.h>
#include <corkward/control/validator.h>

namespace corkward::control {

using core::Milliseconds;

/// Committed values by key.
using CommittedValues = std::map<std::string, consensus::CommittedValue>;

/// Returns the key's committed value, or null if it has none.
consensus::CommittedValue const* findValue(CommittedValues const& values, std::string const& key);

/// Returns the newest committed revision of the key, or 0 if it has no value.
std::uint64_t revisionOf(CommittedValues const& values, std::string const& key);

/// Returns the revision that a read of the target shows: that of the template or instance if the target is in a
/// template family, otherwise that of the key. Returns 0 if there is no value.
std::uint64_t revisionOf(CommittedValues const& values, Target const& target);

/// Returns the generation of the pool's committed endpoint list, or 0 if it has none.
std::uint64_t generationOf(CommittedValues const& values, std::string const& pool);

/// Start of the newest exchange with a majority of the disks. All changes that the majority had accepted by then are
/// committed at this controller. Empty if there was no such exchange yet.
using QuorumContact = std::optional<Milliseconds>;

/// Returns true if the values that are committed at this controller include all changes accepted before `moment`.
inline bool confirmedSince(QuorumContact const& contact, Milliseconds moment) {
  return contact && *contact >= moment;
}

}  // namespace corkward::control
