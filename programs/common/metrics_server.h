#pragma once

#include <functional>
#include <memory>
#include <string>

#include <corkward/http/server.h>

namespace corkward::programs {

/// Tells a process's own figures at an address of their own, for deployments whose HTTP edges have no place for them.
/// When the address cannot be had, the process goes on without and says so in its log: figures are never a reason to
/// fail callers.
class MetricsServer {
 public:
  /// @param address ip:port; empty: none
  /// @param metrics the page's text, called at each question
  MetricsServer(std::string const& address, std::function<std::string()> metrics);
  /// Whether the page can be asked for.
  bool listening() const { return server_ != nullptr; }

 private:
  std::function<std::string()> metrics_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace corkward::programs
