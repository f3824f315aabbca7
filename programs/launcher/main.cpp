/// Launcher of a daemon: holds the signals and replaces itself with the daemon's program, which stands beside it.
///
/// The dynamic loader of a daemon links a few dozen libraries before its first instruction runs. Until then a signal
/// such as SIGHUP has its default action and ends the process. The launcher needs the C library alone, so it blocks and
/// ignores the signals within about a millisecond; both settings survive exec.

#include <cerrno>
#include <climits>
#include <cstdio>
#include <cstring>
#include <unistd.h>

#include "held_signals.h"

namespace {

constexpr int exitCodeNotStarted = 1;

/// Writes the path of the daemon's program, beside this one's. Returns false if it cannot be determined.
bool findProgram(char* path, std::size_t size) {
  ssize_t const length = readlink("/proc/self/exe", path, size - 1);
  if (length <= 0) return false;
  path[length] = '\0';
  char* const slash = strrchr(path, '/');
  if (slash == nullptr) return false;
  std::size_t const room = size - static_cast<std::size_t>(slash + 1 - path);
  return snprintf(slash + 1, room, "%s", CORKWARD_PROGRAM) < static_cast<int>(room);
}

}  // namespace

int main(int, char** argv) {
  corkward::programs::blockAndIgnoreSignals();
  char path[PATH_MAX] = "";
  if (findProgram(path, sizeof path)) execv(path, argv);
  fprintf(stderr, "%s: cannot start %s: %s\n", argv[0], path, strerror(errno));
  return exitCodeNotStarted;
}
