#include "outgoing_connection.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QRandomGenerator>
#include <QTcpSocket>
#include <algorithm>
#include <array>
#include <utility>

#include "frame.h"
#include "socket_io.h"

namespace corkward::transport {

namespace {

/// Returns a random time between half of the pause and all of it, so that the processes that lost the same peer do not
/// dial it at the same moment.
std::chrono::milliseconds withJitter(std::chrono::milliseconds pause) {
  auto const half = static_cast<int>(pause.count() / 2);
  return std::chrono::milliseconds(half + QRandomGenerator::global()->bounded(half + 1));
}

}  // namespace

OutgoingConnection::OutgoingConnection(SocketAddress peer, QObject* parent) : QObject(parent), peer_(std::move(peer)) {
  dialTimer_.setSingleShot(true);
  QObject::connect(&dialTimer_, &QTimer::timeout, this, [this] { dial(); });
  dial();
}

OutgoingConnection::~OutgoingConnection() {
  closeSocket();
}

void OutgoingConnection::dial() {
  closeSocket();
  phase_ = Phase::connecting;
  socket_ = new QTcpSocket(this);
  socket_->setProxy(QNetworkProxy::NoProxy);
  QTcpSocket* const dialled = socket_;
  QObject::connect(socket_, &QTcpSocket::connected, this, [this] { onConnected(); });
  QObject::connect(socket_, &QTcpSocket::readyRead, this, [this] { onReadyRead(); });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, this, [this] { writeQueued(); });
  // Queued, since Qt reports some errors from within the calls that cause them.
  auto const ended = [this, dialled] {
    if (socket_ == dialled) onEnded();
  };
  QObject::connect(socket_, &QTcpSocket::disconnected, this, ended, Qt::QueuedConnection);
  QObject::connect(socket_, &QTcpSocket::errorOccurred, this, ended, Qt::QueuedConnection);
  socket_->connectToHost(QHostAddress(QString::fromStdString(peer_.host)), peer_.port,
                         QIODevice::ReadWrite | QIODevice::Unbuffered);
}

void OutgoingConnection::closeSocket() {
  dialTimer_.stop();
  header_.clear();
  phase_ = Phase::closed;
  closeLater(std::exchange(socket_, nullptr), this);
}

void OutgoingConnection::onConnected() {
  phase_ = Phase::handshaking;
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  if (!writeAll(*socket_, {pushHeader.data(), pushHeader.size()})) onEnded();
}

void OutgoingConnection::onReadyRead() {
  std::array<char, protocolHeaderBytes> bytes{};
  qint64 const received = socket_->read(bytes.data(), bytes.size());
  if (received == 0) return;
  // The pull side sends nothing after its header.
  bool const unexpected = received > 0 && header_.size() + static_cast<std::size_t>(received) > protocolHeaderBytes;
  if (received < 0 || unexpected) {
    onEnded();
    return;
  }
  header_.append(bytes.data(), static_cast<std::size_t>(received));
  if (header_.size() < protocolHeaderBytes) return;
  if (!hasHeader(header_, pullHeader)) {
    onEnded();
    return;
  }
  phase_ = Phase::established;
  establishedAt_ = Clock::now();
  ++connects_;
  writeQueued();
}

void OutgoingConnection::onEnded() {
  Clock::time_point const now = Clock::now();
  bool const wasStable = phase_ == Phase::established && now - establishedAt_ >= stableAfter;
  closeSocket();
  pause_ = wasStable ? std::chrono::milliseconds(0) : std::clamp(2 * pause_, firstPause, longestPause);
  dialAfter_ = now + withJitter(pause_);
  if (!queue_.empty()) dialAfterPause();
}

void OutgoingConnection::dialAfterPause() {
  auto const remaining = std::chrono::ceil<std::chrono::milliseconds>(dialAfter_ - Clock::now());
  dialTimer_.start(std::max(remaining, std::chrono::milliseconds(0)));
}

void OutgoingConnection::redial() {
  queue_.clear();
  queuedBytes_ = 0;
  connects_ = 0;
  pause_ = std::chrono::milliseconds(0);
  dial();
}

bool OutgoingConnection::send(std::string frame) {
  bool const fits =
      queue_.empty() || (queue_.size() < maxQueuedMessages && queuedBytes_ + frame.size() <= maxQueuedBytes);
  if (!fits) return false;
  queuedBytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (phase_ == Phase::established)
    writeQueued();
  else if (phase_ == Phase::closed && !dialTimer_.isActive())
    dialAfterPause();
  return true;
}

void OutgoingConnection::writeQueued() {
  if (phase_ != Phase::established) return;
  while (!queue_.empty() && socket_->bytesToWrite() == 0) {
    if (!writeAll(*socket_, queue_.front())) {
      onEnded();
      return;
    }
    queuedBytes_ -= queue_.front().size();
    queue_.pop_front();
  }
}

}  // namespace corkward::transport
