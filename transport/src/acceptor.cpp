#include <corkward/transport/acceptor.h>

#include <QHostAddress>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <system_error>

#include <corkward/core/descriptor_limit.h>
#include <corkward/core/error.h>
#include <corkward/core/log.h>
#include <corkward/transport/message.h>

#include "events.h"

namespace corkward::transport {

namespace {

constexpr int listenBacklog = 512;
/// Largest number of connections accepted, and of connections that failed, in one iteration of the event loop.
constexpr int acceptsPerIteration = 16;
constexpr std::chrono::seconds logInterval{10};

/// Throws the error of a failed listen().
[[noreturn]] void throwListenError(QTcpServer const& server, SocketAddress const& address) {
  std::string const text = "cannot listen at " + address.host + ":" + std::to_string(address.port) + ": " +
                           server.errorString().toStdString();
  if (server.serverError() == QAbstractSocket::AddressInUseError) throw core::ResourceBusyError(text);
  throw TransportError(text);
}

}  // namespace

AcceptOutcome acceptOutcomeOf(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptOutcome::nonePending;
    // Errors of the pending connection, which accept(2) reports as its own.
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case EPROTO:
    case ENOPROTOOPT:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENONET:
      return AcceptOutcome::connectionFailed;
    default:
      return AcceptOutcome::noRoom;
  }
}

Acceptor::Acceptor(SocketAddress const& address, OnAccepted onAccepted, QObject* parent)
    : QObject(parent), onAccepted_(std::move(onAccepted)) {
  server_.setListenBacklogSize(listenBacklog);
  if (!server_.listen(QHostAddress(QString::fromStdString(address.host)), address.port))
    throwListenError(server_, address);
  server_.pauseAccepting();
  notifier_ = new QSocketNotifier(descriptor(), QSocketNotifier::Read, this);
  QObject::connect(notifier_, &QSocketNotifier::activated, this, [this] { acceptSome(); });
  retryTimer_.setSingleShot(true);
  QObject::connect(&retryTimer_, &QTimer::timeout, this, [this] { notifier_->setEnabled(true); });
}

Acceptor::~Acceptor() {
  close();
}

AcceptOutcome Acceptor::acceptOne() {
  int const accepted = ::accept4(static_cast<int>(descriptor()), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (accepted < 0) {
    lastError_ = errno;
    return acceptOutcomeOf(lastError_);
  }
  onAccepted_(accepted);
  return AcceptOutcome::accepted;
}

void Acceptor::acceptSome() {
  int failed = 0;
  for (int i = 0; i < acceptsPerIteration && server_.isListening(); ++i) {
    AcceptOutcome const outcome = acceptOne();
    if (outcome == AcceptOutcome::nonePending) return;
    if (outcome == AcceptOutcome::connectionFailed) ++failed;
    if (outcome == AcceptOutcome::noRoom || failed == acceptsPerIteration) {
      pause();
      return;
    }
  }
}

void Acceptor::acceptAll() {
  // No more than the queue holds, since clients may go on connecting.
  for (int i = 0; i <= listenBacklog && server_.isListening(); ++i) {
    AcceptOutcome const outcome = acceptOne();
    if (outcome == AcceptOutcome::nonePending || outcome == AcceptOutcome::noRoom) return;
  }
}

void Acceptor::pause() {
  ++failedAccepts_;
  logFailure();
  notifier_->setEnabled(false);
  retryTimer_.start(retryInterval);
}

void Acceptor::logFailure() {
  auto const now = std::chrono::steady_clock::now();
  if (now < nextLogAt_) return;
  nextLogAt_ = now + logInterval;
  core::writeWarning(core::LogEvent{events::acceptFailed,
                                    {{"port", std::to_string(port())},
                                     {"error", std::generic_category().message(lastError_)},
                                     {"failed", std::to_string(failedAccepts_ - loggedFailures_)},
                                     {"limit", std::to_string(core::descriptorLimits().inForce)}}});
  loggedFailures_ = failedAccepts_;
}

void Acceptor::close() {
  retryTimer_.stop();
  notifier_->setEnabled(false);
  server_.close();
}

}  // namespace corkward::transport
