#include <corkward/core/standard_streams.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <corkward/core/file_descriptor.h>

namespace corkward::core {

namespace {

/// Replaces the stream by one of the same pipe or terminal that has a mode of its own.
void makeNonBlocking(int stream) {
  struct stat info {};
  if (::fstat(stream, &info) != 0) return;
  if (!S_ISFIFO(info.st_mode) && !S_ISCHR(info.st_mode)) return;
  std::string const path = "/proc/self/fd/" + std::to_string(stream);
  FileDescriptor const own(::open(path.c_str(), O_WRONLY | O_APPEND | O_NONBLOCK | O_NOCTTY | O_CLOEXEC));
  if (own.isOpen()) ::dup2(own.get(), stream);
}

bool hasRoom(int descriptor) {
  pollfd polled{descriptor, POLLOUT, 0};
  return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}

ssize_t writePiece(int descriptor, std::string_view piece) {
  ssize_t const sent = ::send(descriptor, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  bool const isSocket = sent >= 0 || errno != ENOTSOCK;
  return isSocket ? sent : ::write(descriptor, piece.data(), piece.size());
}

}  // namespace

void makeStandardStreamsNonBlocking() {
  makeNonBlocking(STDOUT_FILENO);
  makeNonBlocking(STDERR_FILENO);
}

bool writeWithoutWaiting(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    // A pipe that has room for anything has room for this much, so that the write does not wait.
    std::string_view const piece = bytes.substr(0, PIPE_BUF);
    if (!hasRoom(descriptor)) return false;
    ssize_t const written = writePiece(descriptor, piece);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace corkward::core
