#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"

namespace testing = corkward::testing;

namespace {

constexpr std::size_t connections = 60;
constexpr int unresponsiveMs = 50;
constexpr int limitMs = 10000;

void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

}  // namespace

TEST_CASE("a connection to which the proxy never responds is reset after the time limit", "[tap]") {
  application();
  // Accepts connections and never responds, and nothing is sent, so that only the proxy can end the connections.
  QTcpServer unresponsive;
  REQUIRE(unresponsive.listen(QHostAddress::LocalHost));
  testing::FaultProxy proxy("127.0.0.1:" + std::to_string(unresponsive.serverPort()), "127.0.0.1", 3, unresponsiveMs);
  proxy.setFaultFraction(1.0);
  std::string const port = proxy.address().substr(proxy.address().rfind(':') + 1);
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (std::size_t i = 0; i < connections; ++i) {
    callers.push_back(std::make_unique<QTcpSocket>());
    callers.back()->connectToHost(QHostAddress::LocalHost, static_cast<quint16>(std::stoi(port)));
  }
  auto const ended = [&] {
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](std::unique_ptr<QTcpSocket> const& caller) {
          return caller->state() == QAbstractSocket::UnconnectedState;
        }));
  };
  QElapsedTimer clock;
  clock.start();
  while ((proxy.faultyConnections() < connections || ended() < proxy.unresponsive()) && clock.elapsed() < limitMs)
    QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, 20);
  CHECK(proxy.faultyConnections() == connections);
  CHECK(proxy.unresponsive() > 0);
  CHECK(ended() == proxy.unresponsive());
}
