#pragma once

#include <string>

#include <corkward/core/file_descriptor.h>

namespace corkward::programs {

/// Locks a directory with flock(2) for this process until the object is destroyed.
class DirectoryLock {
 public:
  /// Throws core::ResourceBusyError if another process holds the lock, and SettingsError if the directory cannot be
  /// opened; the error text begins with the name of the setting.
  DirectoryLock(char const* setting, std::string const& directory);

 private:
  core::FileDescriptor descriptor_;
};

}  // namespace corkward::programs
