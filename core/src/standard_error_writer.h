#pragma once

#include <log4cxx/helpers/writer.h>

namespace corkward::core {

/// Writes log lines to standard error. A line for which there is no room is an IOException; nothing waits.
class StandardErrorWriter final : public log4cxx::helpers::Writer {
 public:
  StandardErrorWriter() = default;
  void close(log4cxx::helpers::Pool& pool) override;
  void flush(log4cxx::helpers::Pool& pool) override;
  void write(log4cxx::LogString const& line, log4cxx::helpers::Pool& pool) override;

 private:
  /// The last line was written in part.
  bool isCut_ = false;
};

}  // namespace corkward::core
