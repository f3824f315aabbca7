#pragma once

#include <QObject>
#include <QTcpServer>
#include <map>
#include <memory>
#include <string>

#include <corkward/core/types.h>

class QTcpSocket;

namespace corkward::testing {

/// A relay between two processes that passes bytes on, and for a share of the connections does harm at a byte drawn
/// from its seed: cuts, stalls, trickles, stays dark or answers garbage. It can also cut or hold every connection at
/// once.
class Tap : public QObject {
 public:
  Tap(std::string const& target, std::string const& ip, std::uint64_t seed);
  ~Tap() override;
  std::string const& address() const { return address_; }
  /// Share of new connections that harm is done to.
  void harm(double share) { share_ = share; }
  /// Resets what is open and refuses what comes.
  void cut(bool on);
  /// Lets nothing pass for a while; what waited goes on after.
  void hold(bool on);
  std::size_t harmed() const { return harmed_; }

 private:
  enum class Way { pass, cutUp, cutDown, stall, trickle, dark, garbage };
  struct Pair;
  void accept();
  void pass(std::shared_ptr<Pair> const& p, bool up);
  void end(std::shared_ptr<Pair> const& p, bool reset);
  std::string target_;
  std::string address_;
  QTcpServer server_;
  core::Rng rng_;
  double share_ = 0;
  bool cut_ = false;
  bool held_ = false;
  std::size_t harmed_ = 0;
  std::map<Pair*, std::shared_ptr<Pair>> pairs_;
};

}  // namespace corkward::testing
