#pragma once

#include <string>

#include <corkward/core/file_descriptor.h>

namespace corkward::programs {

/// Keeps a directory for this process alone while the object lives, by flock(2).
class DirectoryLock {
 public:
  /// Throws SettingsError, which names the setting, when another process holds the lock or the directory cannot be
  /// opened.
  DirectoryLock(char const* setting, std::string const& directory);

 private:
  core::FileDescriptor descriptor_;
};

}  // namespace corkward::programs
