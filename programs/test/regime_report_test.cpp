#include <catch2/catch.hpp>

#include <memory>

#include <corkward/audit/audit_log.h>

#include "temporary_directory.h"
#include "operator_client.h"
#include "regime_report.h"

namespace audit = corkward::audit;
namespace programs = corkward::programs;
namespace storage = corkward::storage;
using programs::ExitCode;
using programs::test::TemporaryDirectory;

TEST_CASE(
    "a regime report returns differs for a missing checkpoint and rejects invalid options and empty directories") {
  TemporaryDirectory directory;
  {
    std::unique_ptr<storage::Directory> const disk = storage::openDirectory(directory.path());
    audit::AuditLog log(*disk, "n1", 1780000000000);
    log.countOutcome(
        audit::RecordCategory{"handed-over", "health", "desk.nord", "model", "10.0.0.1:80", "r1", "z1", "c1", {}},
        1780000000000);
    log.close(1780000000001);
  }
  programs::ReportOptions options;
  options.directories = {directory.path()};
  CHECK(programs::reportRegimes(options) == ExitCode::ok);
  options.json = true;
  CHECK(programs::reportRegimes(options) == ExitCode::ok);
  options.checkpoints = {"n1=2:" + std::string(64, 'a')};
  CHECK(programs::reportRegimes(options) == ExitCode::differs);
  for (char const* invalid : {"n1", "n1=2",
                              "n1=x:"
                              "0",
                              "=2:0"}) {
    options.checkpoints = {invalid};
    CHECK_THROWS_AS(programs::reportRegimes(options), programs::UsageError);
  }
  options.checkpoints.clear();
  options.from = "yesterday";
  CHECK_THROWS_AS(programs::reportRegimes(options), programs::UsageError);
  options.from.clear();
  TemporaryDirectory const empty;
  options.directories = {empty.path()};
  CHECK_THROWS_AS(programs::reportRegimes(options), programs::UsageError);
  options.directories = {empty.path() + "/nowhere"};
  CHECK_THROWS_AS(programs::reportRegimes(options), programs::UsageError);
}
