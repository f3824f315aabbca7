#include "operator_client.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <iostream>
#include <iterator>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr int millisPerSecond = 1000;
constexpr int retryIntervalMs = 300;
/// Longest body of a reply: eight times the largest call that a controller accepts.
constexpr qint64 maxReplyBytes = qint64{16} << 20;
/// Size of the buffer that Qt fills before the body is taken from it.
constexpr qint64 replyBufferBytes = qint64{64} << 10;

QUrl urlOf(std::string const& controller, OperatorCall const& call) {
  QUrl url(QString::fromStdString("http://" + controller + call.path + (call.dryRun ? "?dryRun=1" : "")));
  if (!url.isValid() || url.host().isEmpty()) throw UsageError("controller: must be ip:port, but is " + controller);
  return url;
}

QNetworkRequest requestOf(std::string const& controller, OperatorCall const& call) {
  QNetworkRequest request(urlOf(controller, call));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  if (!call.revision.empty()) request.setRawHeader("If-Match", QByteArray::fromStdString("\"" + call.revision + "\""));
  if (!call.changeId.empty()) request.setRawHeader("Corkward-Change-Id", QByteArray::fromStdString(call.changeId));
  return request;
}

/// Parses the text as a JSON object. Returns an empty object if the text is not one.
QJsonObject objectOf(QByteArray const& text) {
  try {
    return core::parseJson(text.toStdString()).toObject();
  } catch (core::JsonError const&) {
    return {};
  }
}

/// Receives a reply until it is complete, is longer than maxReplyBytes, or its time has passed.
class ReplyReader {
 public:
  explicit ReplyReader(QNetworkReply& reply) : reply_(reply) {
    reply_.setReadBufferSize(replyBufferBytes);
    QObject::connect(&reply_, &QNetworkReply::readyRead, &loop_, [this] { onBytes(); });
    QObject::connect(&reply_, &QNetworkReply::finished, &loop_, &QEventLoop::quit);
  }

  /// Runs the event loop until the reply ends. The limit applies to the reply as a whole, however many bytes arrive.
  void run(int timeoutMs) {
    QTimer::singleShot(timeoutMs, &loop_, [this] { giveUp("no complete reply in time"); });
    if (!reply_.isFinished()) loop_.exec();
    if (!isGivenUp()) onBytes();
  }

  bool isGivenUp() const { return !reason_.empty(); }
  /// Why the reply was given up. Empty if it was not.
  std::string const& reason() const { return reason_; }
  QByteArray const& text() const { return text_; }

 private:
  void onBytes() {
    text_ += reply_.readAll();
    if (text_.size() > maxReplyBytes) giveUp("reply too long");
  }

  void giveUp(char const* reason) {
    if (isGivenUp()) return;
    reason_ = reason;
    reply_.abort();
    loop_.quit();
  }

  QNetworkReply& reply_;
  QEventLoop loop_;
  QByteArray text_;
  std::string reason_;
};

OperatorReply callController(std::string const& controller, OperatorCall const& call, int timeoutSeconds) {
  QNetworkAccessManager manager;
  QByteArray const method(core::name(call.method).data(), static_cast<qsizetype>(core::name(call.method).size()));
  QNetworkReply* const reply =
      manager.sendCustomRequest(requestOf(controller, call), method, QByteArray::fromStdString(call.body));
  ReplyReader reader(*reply);
  reader.run(timeoutSeconds * millisPerSecond);
  OperatorReply out;
  out.controller = controller;
  out.error = reader.isGivenUp() ? reader.reason() : reply->errorString().toStdString();
  if (reader.isGivenUp()) return out;
  out.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (!out.answered()) return out;
  out.text = reader.text();
  out.revision = QString::fromUtf8(reply->rawHeader("ETag")).remove('"').toStdString();
  out.body = objectOf(out.text);
  return out;
}

}  // namespace

OperatorReply callOperator(std::vector<std::string> const& controllers, OperatorCall const& call, int timeoutSeconds) {
  OperatorReply reply;
  for (std::string const& controller : controllers) {
    reply = callController(controller, call, timeoutSeconds);
    if (reply.answered()) break;
  }
  return reply;
}

OperatorReply waitForRollout(std::vector<std::string> const& controllers, OperatorCall const& call, OperatorReply first,
                             int timeoutSeconds, int waitSeconds) {
  core::Milliseconds const deadline = now() + waitSeconds * core::Milliseconds{millisPerSecond};
  OperatorReply reply = std::move(first);
  while (reply.mayRetry() && now() < deadline) {
    pause(retryIntervalMs);
    reply = callOperator(controllers, call, timeoutSeconds);
  }
  return reply;
}

void pause(int milliseconds) {
  QEventLoop loop;
  QTimer::singleShot(milliseconds, &loop, &QEventLoop::quit);
  loop.exec();
}

std::string readFile(std::string const& path) {
  if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly))
    throw UsageError("cannot read " + path + ": " + file.errorString().toStdString());
  return file.readAll().toStdString();
}

}  // namespace corkward::programs
