#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

namespace corkward::control {

/// The newest changes of a key by their change ids, oldest first, stored within the key's committed value: at most
/// config::changeWindow of them. A change that comes again under its id gets the reply that it got first.
class ChangeWindow {
 public:
  /// One accepted change.
  struct Change {
    std::string id;
    /// Tells two changes under one id apart.
    QString digest;
    /// HTTP status of its reply.
    int status = 0;
    std::uint64_t revision = 0;
    /// Only of the fleet configuration: its version, and an upper bound of its text's bytes.
    std::optional<std::int64_t> version = {};
    std::optional<std::int64_t> bytes = {};
  };

  /// @param value the key's value as stored
  explicit ChangeWindow(QJsonObject const& value);

  std::optional<Change> find(std::string const& id) const;
  /// Bytes that the newest change of a fleet configuration noted; without one, the most that is allowed.
  std::int64_t lastBytes() const;
  void append(Change const& change);
  /// As it is stored; the oldest changes beyond the bound are dropped.
  QJsonArray json() const;

 private:
  QJsonArray changes_;
};

}  // namespace corkward::control
