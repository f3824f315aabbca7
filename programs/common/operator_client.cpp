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

QUrl urlOf(std::string const& controller, OperatorCall const& call) {
  QUrl url(QString::fromStdString("http://" + controller + call.path + (call.dryRun ? "?dryRun=1" : "")));
  if (!url.isValid() || url.host().isEmpty()) throw UsageError("controller: must be ip:port, but is " + controller);
  return url;
}

QNetworkRequest requestOf(std::string const& controller, OperatorCall const& call, int timeoutSeconds) {
  QNetworkRequest request(urlOf(controller, call));
  request.setTransferTimeout(timeoutSeconds * millisPerSecond);
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

OperatorReply callController(std::string const& controller, OperatorCall const& call, int timeoutSeconds) {
  QNetworkAccessManager manager;
  QByteArray const method(core::name(call.method).data(), static_cast<qsizetype>(core::name(call.method).size()));
  QNetworkReply* const reply = manager.sendCustomRequest(requestOf(controller, call, timeoutSeconds), method,
                                                         QByteArray::fromStdString(call.body));
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  if (!reply->isFinished()) loop.exec();
  OperatorReply out;
  out.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  out.controller = controller;
  out.error = reply->errorString().toStdString();
  if (!out.answered()) return out;
  out.text = reply->readAll();
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
