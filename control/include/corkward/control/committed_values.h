#pragma once

/// Reads of the committed values, as the registers give them.

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

/// The committed value, or null.
consensus::CommittedValue const* findValue(CommittedValues const& values, std::string const& key);

/// Newest committed revision of the key; 0: none.
std::uint64_t revisionOf(CommittedValues const& values, std::string const& key);

/// Revision that a read of the target would show: of the template or instance in a family, else of the key; 0: none.
std::uint64_t revisionOf(CommittedValues const& values, Target const& target);

/// Generation of a pool's committed endpoint list; 0: none.
std::uint64_t generationOf(CommittedValues const& values, std::string const& pool);

/// When the newest contact with a majority of the disks began whose accepted changes are committed here; nothing: there
/// was none yet.
using QuorumContact = std::optional<Milliseconds>;

/// True when what is committed here is no older than that moment.
inline bool confirmedSince(QuorumContact const& contact, Milliseconds moment) {
  return contact && *contact >= moment;
}

}  // namespace corkward::control
