#include <corkward/storage/write_ahead_log.h>

#include <cerrno>
#include <system_error>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace corkward::storage {

namespace {

[[noreturn]] void fail(std::string const& what) {
  throw StorageError(what + ": " + std::generic_category().message(errno));
}

class Fd {
 public:
  Fd(std::string const& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0640)) {
    if (fd_ < 0) fail("open " + path);
  }
  ~Fd() { ::close(fd_); }
  Fd(Fd const&) = delete;
  Fd& operator=(Fd const&) = delete;
  Fd(Fd&&) = delete;
  Fd& operator=(Fd&&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

class DiskFolder : public Directory {
 public:
  explicit DiskFolder(std::string path) : path_(std::move(path)) {
    if (::mkdir(path_.c_str(), 0750) != 0 && errno != EEXIST) fail("make folder " + path_);
    Fd const probe(path_, O_RDONLY | O_DIRECTORY);
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
    Fd const fd(path_ + "/" + name, O_RDONLY);
    std::string out;
    std::string part(1U << 16, '\0');
    for (;;) {
      ssize_t const n = ::read(fd.get(), part.data(), part.size());
      if (n < 0) fail("read " + name);
      if (n == 0) return out;
      out.append(part.data(), static_cast<std::size_t>(n));
    }
  }
  void append(std::string const& name, std::string const& bytes) override {
    Fd const fd(path_ + "/" + name, O_WRONLY | O_CREAT | O_APPEND);
    std::size_t at = 0;
    while (at < bytes.size()) {
      ssize_t const n = ::write(fd.get(), bytes.data() + at, bytes.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) fail("write " + name);
      at += static_cast<std::size_t>(n);
    }
  }
  void sync(std::string const& name) override {
    Fd const fd(path_ + "/" + name, O_WRONLY);
    if (::fsync(fd.get()) != 0) fail("sync " + name);
  }
  void rename(std::string const& from, std::string const& to) override {
    if (::rename((path_ + "/" + from).c_str(), (path_ + "/" + to).c_str()) != 0) fail("rename " + from);
  }
  void remove(std::string const& name) override {
    if (::unlink((path_ + "/" + name).c_str()) != 0) fail("remove " + name);
  }
  void truncate(std::string const& name, std::uint64_t size) override {
    if (::truncate((path_ + "/" + name).c_str(), static_cast<off_t>(size)) != 0) fail("cut " + name);
    sync(name);
  }
  void syncDirectory() override {
    Fd const fd(path_, O_RDONLY | O_DIRECTORY);
    if (::fsync(fd.get()) != 0) fail("sync folder " + path_);
  }

 private:
  std::string path_;
};

}  // namespace

std::unique_ptr<Directory> openDirectory(std::string const& path) {
  return std::make_unique<DiskFolder>(path);
}

}  // namespace corkward::storage
