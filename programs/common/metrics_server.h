#pragma once

#include <functional>
#include <memory>
#include <string>

#include <corkward/http/server.h>

namespace corkward::programs {

/// Serves a process's own metrics at a separate address, for deployments whose HTTP surface has no place for them.
/// When the address cannot be bound, the process goes on without and logs a warning: metrics are never a reason to fail
/// callers.
class MetricsServer {
 public:
  /// @param address ip:port; empty: none
  /// @param metrics the page in Prometheus' text format, evaluated for each scrape
  MetricsServer(std::string const& address, std::function<std::string()> metrics);
  /// Whether the page can be scraped.
  bool listening() const { return server_ != nullptr; }

 private:
  std::function<std::string()> metrics_;
  /// Null when there is no address, or it could not be bound.
  std::unique_ptr<http::Server> server_;
};

}  // namespace corkward::programs
