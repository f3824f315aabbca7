#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <corkward/dataplane/request_router.h>

namespace corkward::dataplane {

/// Header fields of an answer in their order; a name may come more than once.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// How an answer begins, as the HTTP edge's mapping reads it.
struct ResponseHead {
  int status = 0;
  /// Fields that go back to the caller.
  HeaderList fields = {};
  /// Length of the body; below zero: in chunks.
  std::int64_t length = -1;
  /// The replica says that it did not run the request.
  bool notExecuted = false;
  /// The replica says that it failed at the request, which may have run.
  bool failed = false;
  /// The answer belongs to another request, or is none that may be passed on.
  bool foreign = false;
  /// Name of the run and offset of the body, where the replica tells them.
  std::string run = {};
  std::string offset = {};
  /// The status's own words; empty: the usual ones.
  std::string reason = {};
  /// The body is a row of events (text/event-stream).
  bool events = false;
  /// No body follows, whatever the length says.
  bool bodiless = false;
};

/// Where a replica is asked to go on.
struct Resume {
  /// False: the request is handed over as it came.
  bool resuming = false;
  std::string run = {};
  std::uint64_t offset = 0;
  /// Id of the last event that the caller has; empty: none.
  std::string lastEvent = {};
};

/// What one event of a replica's connection leads to, in this order.
struct StreamSteps {
  /// Tell the plane that the replica answers with a failure, of which nothing was passed on yet.
  bool failed = false;
  /// Begin the caller's answer.
  std::optional<ResponseHead> begin;
  /// Tell the plane that the first word, or the first one after a resume, has come; and whether the run may be resumed.
  std::optional<bool> firstByte;
  /// Bytes for the caller.
  std::string chunk;
  /// Close the replica's connection.
  bool closeUpstream = false;
  /// Write the caller's end of body: the replica's own was seen.
  bool finish = false;
  /// Tell the plane how the connection ended.
  std::optional<UpstreamResult> ended;
};

/// What passes from one call's replica connections to its caller, as a pure reducer: which run it is, how far it has
/// come, and whether the end may be told. The HTTP edge and the simulator run the same one.
class ResponseStream {
 public:
  /// Rows of events are passed on in whole events and may go on at another replica after the last one passed on.
  /// Answers that are no such row are passed on as they are. Only before the first connection.
  /// @param lastId id of the last event that the caller says it has; empty: none.
  void asEvents(std::string lastId);
  /// A connection is opened, for the first time or to resume. When nothing was passed on yet, it starts over.
  void connecting(bool resume);
  /// What the replica is to be asked for on this connection.
  Resume resume() const;
  /// Id of the last event passed on, else the caller's own; empty: none.
  std::string const& lastEvent() const { return lastId_; }
  StreamSteps head(ResponseHead const& head);
  StreamSteps piece(std::string bytes);
  /// The body's own end was seen (true), or the connection ended before it.
  StreamSteps ended(bool whole);
  bool begun() const { return begun_; }

 private:
  struct Event {
    std::string id;
    bool data = false;
  };
  StreamSteps over(UpstreamResult end);
  void over(StreamSteps& out, UpstreamResult end);
  void begin(StreamSteps& out);
  StreamSteps eventPiece(std::string const& bytes);
  bool pass(StreamSteps& out, std::size_t start);
  void line(std::size_t from, std::size_t to);
  ResponseHead head_;
  std::string run_;
  std::uint64_t offset_ = 0;
  bool begun_ = false;
  bool resuming_ = false;
  bool headed_ = false;
  bool over_ = false;
  bool asEvents_ = false;
  bool row_ = false;
  /// Some event passed on cannot be told by its id, so nothing may be asked for after it.
  bool unnumbered_ = false;
  bool idPassed_ = false;
  std::string lastId_;
  /// The event that is not whole yet, how far it was looked through, and what was found in it.
  std::string tail_;
  std::size_t scanned_ = 0;
  std::size_t lineAt_ = 0;
  bool lineFeeds_ = false;
  Event event_;
};

}  // namespace corkward::dataplane
