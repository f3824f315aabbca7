#include <QCoreApplication>
#include <QTimer>
#include <boost/program_options.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <unordered_map>

#include <corkward/core/json.h>
#include <corkward/http/server.h>

#include "body.h"
#include "clock.h"

namespace corkward::testing {

namespace po = boost::program_options;

/// A stand-in for a model replica or an ordinary service. Executes a limited number of requests at a time and writes
/// every run to a record file.
class Replica : public QObject {
 public:
  struct Options {
    std::string http;
    std::string record;
    int slots = 4;
    int queue = 64;
    int firstMs = 40;
    int gapMs = 5;
    int tokens = 5;
    int longTokens = 60;
    int dropAfter = 0;
    std::string incarnation;
  };

  explicit Replica(Options const& options)
      : options_(options),
        name_(programs::randomId().substr(0, 8)),
        record_(options.record, std::ios::app),
        server_(options.http, http::ServerLimits{}, events()) {
    write("up", "", "", "");
  }

 private:
  struct Run {
    std::uint64_t call = 0;
    std::string run;
    std::string id;
    bool bulk = false;
    int firstMs = 0;
    std::uint64_t tokens = 0;
    std::uint64_t next = 0;
    std::string resumed;
    /// Whether the response is an event stream. Its ids continue after `next`.
    bool events = false;
    bool begun = false;
  };

  http::Server::Events events() {
    http::Server::Events e;
    e.request = [this](http::Request r) { accept(std::move(r)); };
    e.disconnected = [this](std::uint64_t id) { onDisconnected(id); };
    return e;
  }

  void write(std::string const& what, std::string const& run, std::string const& id, std::string const& more) {
    record_ << programs::now() << " " << what << " " << (run.empty() ? "-" : run) << " " << (id.empty() ? "-" : id)
            << " " << (more.empty() ? "-" : more) << std::endl;
  }

  void accept(http::Request r) {
    std::string const id = r.headers["corkward-request-id"];
    std::string const target = r.target;
    std::string const attempt = r.headers["corkward-attempt"];
    if (r.method == "GET" && target == "/corkward/life") {
      write("asked", "", "", options_.incarnation);
      if (options_.incarnation.empty())
        server_.respond(r.id, 404, {}, "");
      else
        server_.respond(r.id, 200, {{"corkward-life", options_.incarnation}}, "");
      return;
    }
    if (r.headers.count("corkward-run") > 0) {
      resume(r, id);
      return;
    }
    if (static_cast<int>(running_.size() + queue_.size()) >= options_.slots + options_.queue) {
      write("not-run", "", id, attempt);
      server_.respond(r.id, 503, {{"corkward-run", "none"}}, "");
      return;
    }
    Run run;
    run.call = r.id;
    run.run = name_ + "-" + std::to_string(++count_);
    run.id = id;
    run.bulk = target.find("narrate") != std::string::npos || target.find("deck") != std::string::npos;
    run.tokens = static_cast<std::uint64_t>(run.bulk ? options_.longTokens : options_.tokens);
    run.firstMs = options_.firstMs;
    run.events = target.find("tale") != std::string::npos;
    if (run.events) run.tokens = static_cast<std::uint64_t>(options_.longTokens);
    if (run.events && r.headers.count("last-event-id") > 0) run.next = std::stoull(r.headers.at("last-event-id"));
    std::string prefix;
    try {
      prefix = core::toStdString(core::parseJson(r.body).toObject().value("prefix").toString());
    } catch (core::JsonError const&) {
      prefix.clear();
    }
    bool const hit = !prefix.empty() && prefixes_.count(prefix) > 0;
    if (hit) run.firstMs /= 4;
    if (!prefix.empty()) prefixes_[prefix] = 1;
    write(run.next > 0 ? "go-on" : "run", run.run, id,
          attempt + "/" + target.substr(1) + "/" +
              (prefix.empty() ? "none"
               : hit          ? "hit"
                              : "miss"));
    queue_.push_back(run);
    next();
  }

  void resume(http::Request const& r, std::string const& id) {
    std::string const run = r.headers.at("corkward-run");
    std::string const offset = r.headers.count("corkward-offset") > 0 ? r.headers.at("corkward-offset") : "";
    auto const it = known_.find(run);
    std::string const body = it == known_.end() ? "" : bodyOf(run, it->second);
    if (it == known_.end() || offset.empty() || std::stoull(offset) > body.size()) {
      write("resume-denied", run, id, offset);
      server_.respond(r.id, 410, {}, "");
      return;
    }
    write("resume", run, id, offset);
    server_.beginResponse(r.id, 206, {{"corkward-run", run}, {"corkward-offset", offset}}, -1);
    server_.writeChunk(r.id, body.substr(std::stoull(offset)));
    server_.finishResponse(r.id);
  }

  void next() {
    while (static_cast<int>(running_.size()) < options_.slots && !queue_.empty()) {
      Run const run = queue_.front();
      queue_.pop_front();
      running_[run.call] = run;
      known_[run.run] = run.tokens;
      std::uint64_t const call = run.call;
      QTimer::singleShot(run.firstMs, this, [this, call] { step(call); });
    }
  }

  void step(std::uint64_t call) {
    auto const it = running_.find(call);
    if (it == running_.end()) return;
    Run& run = it->second;
    if (run.events) {
      stepEvents(run);
      return;
    }
    if (run.next == 0)
      server_.beginResponse(call, 200, {{"corkward-run", run.run}, {"content-type", "text/plain"}}, -1);
    if (options_.dropAfter > 0 && run.next == static_cast<std::uint64_t>(options_.dropAfter)) {
      write("dropped", run.run, run.id, "");
      running_.erase(it);
      server_.abort(call);
      next();
      return;
    }
    if (run.next < run.tokens) {
      server_.writeChunk(call, tokenText(run.run, run.next++));
      QTimer::singleShot(options_.gapMs, this, [this, call] { step(call); });
      return;
    }
    server_.writeChunk(call, run.run + " end " + std::to_string(run.tokens) + "\n");
    server_.finishResponse(call);
    write("end", run.run, run.id, "");
    running_.erase(it);
    next();
  }

  void stepEvents(Run& run) {
    std::uint64_t const call = run.call;
    if (!run.begun)
      server_.beginResponse(call, 200, {{"corkward-run", run.run}, {"content-type", "text/event-stream"}}, -1);
    run.begun = true;
    if (run.next < run.tokens) {
      std::string const number = std::to_string(++run.next);
      server_.writeChunk(call, "id: " + number + "\ndata: " + run.id + " " + number + "\n\n");
      QTimer::singleShot(options_.gapMs, this, [this, call] { step(call); });
      return;
    }
    server_.finishResponse(call);
    write("end", run.run, run.id, "");
    running_.erase(call);
    next();
  }

  void onDisconnected(std::uint64_t id) {
    auto const it = running_.find(id);
    if (it != running_.end()) {
      write("gone", it->second.run, it->second.id, "");
      running_.erase(it);
    }
    for (auto q = queue_.begin(); q != queue_.end(); ++q)
      if (q->call == id) {
        write("gone", q->run, q->id, "");
        queue_.erase(q);
        break;
      }
    next();
  }

  Options options_;
  std::string name_;
  std::ofstream record_;
  std::uint64_t count_ = 0;
  std::unordered_map<std::uint64_t, Run> running_;
  std::deque<Run> queue_;
  std::unordered_map<std::string, int> prefixes_;
  std::unordered_map<std::string, std::uint64_t> known_;
  http::Server server_;
};

}  // namespace corkward::testing

int main(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  corkward::testing::Replica::Options options;
  boost::program_options::options_description flags("standin-replica");
  flags.add_options()("http", boost::program_options::value(&options.http)->required(), "own address")(
      "record", boost::program_options::value(&options.record)->required(), "file to which every run is written")(
      "slots", boost::program_options::value(&options.slots), "maximum number of concurrent runs")(
      "queue", boost::program_options::value(&options.queue), "maximum number of queued runs")(
      "first-ms", boost::program_options::value(&options.firstMs), "time to the first token in ms")(
      "gap-ms", boost::program_options::value(&options.gapMs), "time between tokens in ms")(
      "words", boost::program_options::value(&options.tokens), "tokens of a short run")(
      "long-words", boost::program_options::value(&options.longTokens), "tokens of a long run")(
      "life", boost::program_options::value(&options.incarnation),
      "name of this incarnation, returned at /corkward/life")(
      "drop-after", boost::program_options::value(&options.dropAfter), "abort every response after this many tokens");
  try {
    boost::program_options::variables_map vm;
    boost::program_options::store(boost::program_options::parse_command_line(argc, argv, flags), vm);
    boost::program_options::notify(vm);
    corkward::testing::Replica replica(options);
    return QCoreApplication::exec();
  } catch (std::exception const& e) {
    std::cerr << "standin-replica: " << e.what() << "\n";
    return 2;
  }
}
