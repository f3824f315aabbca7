#include <corkward/storage/write_ahead_log.h>

#include <cerrno>
#include <system_error>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace corkward::storage {

namespace {

/// Throws a StorageError with the operation that failed and the text of errno.
[[noreturn]] void fail(std::string const& operation) {
  throw StorageError(operation + ": " + std::generic_category().message(errno));
}

/// A file that is open while this object exists.
class OpenFile {
 public:
  OpenFile(std::string const& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0640)) {
    if (fd_ < 0) fail("open " + path);
  }
  ~OpenFile() { ::close(fd_); }
  OpenFile(OpenFile const&) = delete;
  OpenFile& operator=(OpenFile const&) = delete;
  OpenFile(OpenFile&&) = delete;
  OpenFile& operator=(OpenFile&&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

class PosixDirectory : public Directory {
 public:
  explicit PosixDirectory(std::string path) : path_(std::move(path)) {
    if (::mkdir(path_.c_str(), 0750) != 0 && errno != EEXIST) fail("create directory " + path_);
    OpenFile const probe(path_, O_RDONLY | O_DIRECTORY);
  }
  std::vector<std::string> list() override {
    DIR* const dir = ::opendir(path_.c_str());
    if (dir == nullptr) fail("list " + path_);
    std::vector<std::string> out;
    while (dirent const* e = ::readdir(dir))
      if (e->d_name[0] != '.') out.emplace_back(e->d_name);
    ::closedir(dir);
    return out;
  }
  std::string read(std::string const& name) override {
    OpenFile const file(path_ + "/" + name, O_RDONLY);
    std::string out;
    std::string chunk(1U << 16, '\0');
    for (;;) {
      ssize_t const n = ::read(file.get(), chunk.data(), chunk.size());
      if (n < 0) fail("read " + name);
      if (n == 0) return out;
      out.append(chunk.data(), static_cast<std::size_t>(n));
    }
  }
  void append(std::string const& name, std::string const& bytes) override {
    OpenFile const file(path_ + "/" + name, O_WRONLY | O_CREAT | O_APPEND);
    std::size_t at = 0;
    while (at < bytes.size()) {
      ssize_t const n = ::write(file.get(), bytes.data() + at, bytes.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) fail("write " + name);
      at += static_cast<std::size_t>(n);
    }
  }
  void sync(std::string const& name) override {
    OpenFile const file(path_ + "/" + name, O_WRONLY);
    if (::fsync(file.get()) != 0) fail("sync " + name);
  }
  void rename(std::string const& from, std::string const& to) override {
    if (::rename((path_ + "/" + from).c_str(), (path_ + "/" + to).c_str()) != 0) fail("rename " + from);
  }
  void remove(std::string const& name) override {
    if (::unlink((path_ + "/" + name).c_str()) != 0) fail("remove " + name);
  }
  void truncate(std::string const& name, std::uint64_t size) override {
    if (::truncate((path_ + "/" + name).c_str(), static_cast<off_t>(size)) != 0) fail("truncate " + name);
    sync(name);
  }
  void syncDirectory() override {
    OpenFile const file(path_, O_RDONLY | O_DIRECTORY);
    if (::fsync(file.get()) != 0) fail("sync directory " + path_);
  }

 private:
  std::string path_;
};

}  // namespace

std::unique_ptr<Directory> openDirectory(std::string const& path) {
  return std::make_unique<PosixDirectory>(path);
}

}  // namespace corkward::storage
