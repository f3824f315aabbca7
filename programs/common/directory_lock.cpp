#include "directory_lock.h"

#include <fcntl.h>
#include <sys/file.h>

#include "settings.h"

namespace corkward::programs {

DirectoryLock::DirectoryLock(char const* setting, std::string const& directory)
    : descriptor_(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (!descriptor_.isOpen()) throw SettingsError(std::string(setting) + ": cannot be opened: " + directory);
  bool const locked = ::flock(descriptor_.get(), LOCK_EX | LOCK_NB) == 0;
  if (!locked) throw core::ResourceBusyError(std::string(setting) + ": in use by another process: " + directory);
}

}  // namespace corkward::programs
