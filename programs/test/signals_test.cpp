#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <csignal>
#include <fcntl.h>
#include <memory>
#include <unistd.h>
#include <vector>

#include "signals.h"

namespace programs = corkward::programs;

namespace {

void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

bool isOpen(int descriptor) {
  return ::fcntl(descriptor, F_GETFD) >= 0;
}

}  // namespace

TEST_CASE("each owner of a signal handler closes only its own descriptors when it is destroyed") {
  application();
  bool const held = GENERATE(false, true);
  if (held) programs::holdSignals();
  std::unique_ptr<QObject> first = std::make_unique<QObject>();
  std::unique_ptr<QObject> second = std::make_unique<QObject>();
  for (QObject* const owner : {first.get(), second.get()}) {
    programs::onTermination(owner, [] {});
    programs::onReload(owner, [] {});
  }
  first.reset();
  // Opens descriptors that reuse the numbers of the first owner's closed ones. A second close of these numbers would
  // close the new descriptors.
  std::vector<int> others;
  for (int i = 0; i < 8; ++i) others.push_back(::dup(STDERR_FILENO));
  second.reset();
  for (int const other : others) CHECK(isOpen(other));
  for (int const other : others) ::close(other);
}

TEST_CASE("a SIGHUP that arrives before onReload is delivered to the handler once") {
  application();
  programs::holdSignals();
  REQUIRE(::raise(SIGHUP) == 0);
  int reloads = 0;
  QObject owner;
  programs::onReload(&owner, [&] { ++reloads; });
  for (int i = 0; i < 5; ++i) QCoreApplication::processEvents();
  CHECK(reloads == 1);
}
