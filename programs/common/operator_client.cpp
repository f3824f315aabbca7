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

OperatorOutcome callOperator(std::vector<std::string> const& controllers, OperatorCall const& call, int limitSeconds) {
  OperatorOutcome out;
  for (std::string const& base : controllers) {
    QUrl const url(QString::fromStdString("http://" + base + call.path + (call.dryRun ? "?dryRun=1" : "")));
    if (!url.isValid() || url.host().isEmpty()) throw UsageError("controller: must be ip:port, but is " + base);
    QNetworkAccessManager manager;
    QNetworkRequest request(url);
    request.setTransferTimeout(limitSeconds * 1000);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!call.revision.empty())
      request.setRawHeader("If-Match", QByteArray::fromStdString("\"" + call.revision + "\""));
    if (!call.changeId.empty()) request.setRawHeader("Corkward-Change-Id", QByteArray::fromStdString(call.changeId));
    QNetworkReply* const reply = manager.sendCustomRequest(request, QByteArray::fromStdString(call.method),
                                                           QByteArray::fromStdString(call.body));
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished()) loop.exec();
    out.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    out.from = base;
    out.error = reply->errorString().toStdString();
    if (out.status == 0) continue;
    out.text = reply->readAll();
    out.revision = QString::fromUtf8(reply->rawHeader("ETag")).remove('"').toStdString();
    try {
      out.body = core::parseJson(out.text.toStdString()).toObject();
    } catch (core::JsonError const&) {
      out.body = {};
    }
    return out;
  }
  return out;
}

OperatorOutcome waitInForce(std::vector<std::string> const& controllers, OperatorCall const& call,
                            OperatorOutcome first, int limitSeconds, int waitSeconds) {
  core::Tick const until = now() + waitSeconds * core::Tick{1000};
  OperatorOutcome out = std::move(first);
  while ((out.status == 0 || out.status == 503 || out.status == 504) && now() < until) {
    QEventLoop loop;
    QTimer::singleShot(300, &loop, &QEventLoop::quit);
    loop.exec();
    out = callOperator(controllers, call, limitSeconds);
  }
  return out;
}

std::string readFile(std::string const& path) {
  if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly))
    throw UsageError("cannot read " + path + ": " + file.errorString().toStdString());
  return file.readAll().toStdString();
}

}  // namespace corkward::programs
