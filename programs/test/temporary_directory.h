#pragma once

#include <QFile>
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <string>

namespace corkward::programs::test {

/// A directory that is removed at the end of the test.
class TemporaryDirectory {
 public:
  std::string path() const { return directory_.path().toStdString(); }
  void write(char const* name, char const* text) const {
    QFile file(directory_.filePath(name));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(text);
  }

 private:
  QTemporaryDir directory_;
};

}  // namespace corkward::programs::test
