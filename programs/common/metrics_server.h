#pragma once

#include <functional>
#include <memory>
#include <string>

#include <corkward/http/server.h>

namespace corkward::programs {

/// Serves a process's own metrics at a separate address, for deployments whose main HTTP interface has no endpoint for
/// them. If the address cannot be bound, the process logs a warning and continues without metrics, because missing
/// metrics must not make requests fail.
class MetricsServer {
 public:
  /// @param address ip:port, or empty to serve no metrics
  /// @param metrics returns the metrics in Prometheus' text format; called for each scrape
  MetricsServer(std::string const& address, std::function<std::string()> metrics);
  /// Returns whether the metrics can be scraped.
  bool listening() const { return server_ != nullptr; }

 private:
  std::function<std::string()> metrics_;
  /// Null if no address is set or the address could not be bound.
  std::unique_ptr<http::Server> server_;
};

}  // namespace corkward::programs
