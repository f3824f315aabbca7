#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

namespace corkward::control {

/// The newest changes of a key with their change ids, oldest first, at most config::changeWindow of them. They are
/// stored within the key's committed value. A change that is resent under its id gets the same reply as the first time.
class ChangeWindow {
 public:
  /// One accepted change.
  struct Change {
    std::string id;
    /// Digest by which two different changes under the same id are distinguished.
    QString digest;
    /// HTTP status of the change's first reply.
    int status = 0;
    std::uint64_t revision = 0;
    /// Version of the fleet configuration, and an upper bound of the length of its text in bytes. Empty for other keys.
    std::optional<std::int64_t> version = {};
    std::optional<std::int64_t> bytes = {};
  };

  /// @param value the key's stored value
  explicit ChangeWindow(QJsonObject const& value);

  std::optional<Change> find(std::string const& id) const;
  /// Returns the upper bound of bytes in the newest change of the fleet configuration, or the largest allowed size if
  /// it has none.
  std::int64_t lastBytes() const;
  void append(Change const& change);
  /// Returns the window in its storage format, without the oldest changes beyond the bound.
  QJsonArray json() const;

 private:
  QJsonArray changes_;
};

}  // namespace corkward::control
