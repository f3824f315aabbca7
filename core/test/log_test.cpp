#include <catch2/catch.hpp>

#include <QFile>
#include <QTemporaryDir>
#include <array>
#include <climits>
#include <csignal>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <corkward/core/file_descriptor.h>
#include <corkward/core/log.h>
#include <corkward/core/log_event.h>
#include <corkward/core/standard_streams.h>

namespace core = corkward::core;

namespace {

/// Makes every write to a file fail, as on a full disk, until the object is destroyed.
class FullDisk {
 public:
  FullDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &previousLimit_) == 0);
    rlimit const full{0, previousLimit_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
  }
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &previousLimit_); }
  FullDisk(FullDisk const&) = delete;
  FullDisk& operator=(FullDisk const&) = delete;
  FullDisk(FullDisk&&) = delete;
  FullDisk& operator=(FullDisk&&) = delete;

 private:
  rlimit previousLimit_{};
};

}  // namespace

/// Guards against a process that ends because its log cannot be written.
TEST_CASE("lines that a full disk refuses are dropped, and counted once the log can be written again") {
  QTemporaryDir const directory;
  QString const path = directory.filePath("log");
  core::startLog("node", path.toStdString(), core::LogLevel::info);
  core::LogEvent const event{core::EventName("started"), {}};
  {
    FullDisk const fullDisk;
    for (int i = 0; i < 3; ++i) core::writeLog(event);
  }
  core::writeLog(event);
  core::startLog("node", "", core::LogLevel::error);
  QFile file(path);
  REQUIRE(file.open(QIODevice::ReadOnly));
  std::string const log = file.readAll().toStdString();
  INFO(log);
  CHECK(log.find("event=started") != std::string::npos);
  CHECK(log.find("event=log-lines-dropped count=3") != std::string::npos);
}

namespace {

/// Puts a pipe without room for a byte in the place of standard error, until the object is destroyed.
class FullStandardError {
 public:
  FullStandardError() {
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    reader_.reset(ends.front());
    writer_.reset(ends.back());
    REQUIRE(::fcntl(reader_.get(), F_SETFL, O_NONBLOCK) == 0);
    previous_.reset(::dup(STDERR_FILENO));
    std::string const block(PIPE_BUF, '-');
    while (core::writeWithoutWaiting(writer_.get(), block)) continue;
    REQUIRE(::dup2(writer_.get(), STDERR_FILENO) == STDERR_FILENO);
  }
  ~FullStandardError() { ::dup2(previous_.get(), STDERR_FILENO); }
  FullStandardError(FullStandardError const&) = delete;
  FullStandardError& operator=(FullStandardError const&) = delete;
  FullStandardError(FullStandardError&&) = delete;
  FullStandardError& operator=(FullStandardError&&) = delete;

  std::string drain() const {
    std::string out;
    std::array<char, PIPE_BUF> block{};
    ssize_t length = 0;
    while ((length = ::read(reader_.get(), block.data(), block.size())) > 0)
      out.append(block.data(), static_cast<std::size_t>(length));
    return out;
  }

 private:
  core::FileDescriptor reader_;
  core::FileDescriptor writer_;
  core::FileDescriptor previous_;
};

}  // namespace

/// Guards against a process that waits for good at a line of its log because nobody reads the pipe that takes it.
TEST_CASE("lines for which a pipe has no room are dropped at once, and counted once it is read") {
  std::string log;
  bool const ownStream = GENERATE(false, true);
  {
    FullStandardError const pipe;
    if (ownStream) core::makeStandardStreamsNonBlocking();
    core::startLog("node", "", core::LogLevel::info);
    core::LogEvent const event{core::EventName("started"), {}};
    for (int i = 0; i < 3; ++i) core::writeLog(event);
    pipe.drain();
    core::writeLog(event);
    log = pipe.drain();
  }
  core::startLog("node", "", core::LogLevel::error);
  INFO(log);
  CHECK(log.find("event=started") != std::string::npos);
  CHECK(log.find("event=log-lines-dropped count=3") != std::string::npos);
}

/// Guards against lines that are torn by the end of a long one that did not fit.
TEST_CASE("a line that fits in part is ended before the next one") {
  std::string log;
  {
    FullStandardError const pipe;
    pipe.drain();
    core::startLog("node", "", core::LogLevel::info);
    std::string const tooLong(1U << 20, 'x');
    core::writeLog(core::LogEvent{core::EventName("long"), {{"text", tooLong}}});
    pipe.drain();
    core::writeLog(core::LogEvent{core::EventName("short"), {}});
    log = pipe.drain();
  }
  core::startLog("node", "", core::LogLevel::error);
  CHECK(log.rfind("\ntime=", 0) == 0);
  CHECK(log.find("event=short") != std::string::npos);
}
