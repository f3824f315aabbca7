#include <catch2/catch.hpp>

#include <QFile>
#include <QTemporaryDir>
#include <csignal>
#include <sys/resource.h>

#include <corkward/core/log.h>
#include <corkward/core/log_event.h>

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
