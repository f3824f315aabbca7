#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <corkward/core/body_end.h>
#include <corkward/dataplane/request_router.h>

namespace corkward::dataplane {

/// Header fields of a response, in order. A name may occur more than once.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Head of a replica's response.
struct ResponseHead {
  int status = 0;
  /// Header fields that are forwarded to the caller.
  HeaderList fields = {};
  /// Length of the body in bytes. Negative if it is not known in advance (chunked transfer encoding).
  std::int64_t length = -1;
  /// The replica states that it did not execute the request.
  bool notExecuted = false;
  /// The replica states that it failed to serve the request, which may have been executed.
  bool failed = false;
  /// The response belongs to another request, or may not be forwarded for another reason.
  bool foreign = false;
  /// Name of the execution, and the offset at which the body starts. Empty if the replica does not state them.
  std::string run = {};
  std::string offset = {};
  /// Reason phrase of the status line. Empty for the standard phrase of the status.
  std::string reason = {};
  /// The body is a server-sent event stream (text/event-stream).
  bool events = false;
  /// No body follows, even if `length` is positive, as in a response to HEAD.
  bool bodiless = false;
};

/// The position from which a replica is requested to continue a response.
struct Resume {
  /// False if the request is sent as it came, without a resume.
  bool resuming = false;
  std::string run = {};
  std::uint64_t offset = 0;
  /// Id of the last event that the caller has. Empty if it has none.
  std::string lastEvent = {};
};

/// What has to be done after one event of a replica's connection, in the order of the members.
struct StreamSteps {
  /// Report to the router that the replica responds with a failure, of which nothing was forwarded yet.
  bool failed = false;
  /// Send this head to the caller.
  std::optional<ResponseHead> begin;
  /// Report to the router that the first byte, or the first byte after a resume, has arrived. The value states whether
  /// the execution can be resumed.
  std::optional<bool> firstByte;
  /// Send these bytes of the body to the caller.
  std::string chunk;
  /// Close the connection to the replica.
  bool closeUpstream = false;
  /// Complete the caller's response, because the replica completed its own.
  bool finish = false;
  /// Report to the router how the dispatched request ended.
  std::optional<UpstreamResult> ended;
};

/// Decides what is forwarded from the replica connections of one call to its caller, as a pure reducer. It tracks which
/// execution the response comes from, how much of it was forwarded, and whether it is complete. The router process and
/// the simulator use the same class.
class ResponseStream {
 public:
  /// Treats the response as a server-sent event stream, if the replica sends one: only complete events are forwarded,
  /// and another replica may continue the stream after the last forwarded event. Other responses are forwarded
  /// unchanged. Must be called before the first connection.
  /// @param lastEventId id of the last event that the caller states it has. Empty if it has none.
  void expectEvents(std::string lastEventId);
  /// A connection is being opened. The response continues if `resume` is true and a part of it was forwarded. If
  /// nothing was forwarded yet, the response starts over.
  void onConnecting(bool resume);
  /// The position from which the replica is requested to continue on this connection.
  Resume resume() const;
  /// Id of the last forwarded event, or the one that the caller stated if none was forwarded. Empty if there is none.
  std::string const& lastEvent() const { return lastEventId_; }
  StreamSteps onHead(ResponseHead const& head);
  StreamSteps onChunk(std::string bytes);
  /// The response ended. A body whose framing marks its end is complete, also if its last event lacks the blank line.
  /// An event stream that ends with the connection is complete only after a complete event; see docs/design.md.
  StreamSteps onEnd(core::BodyEnd end);
  /// Ends the response of the connection and drops what is held of it, as if the replica had ended the connection.
  StreamSteps giveUp();
  /// Bytes of memory that are held for what cannot be forwarded yet: the head, and an event that is not complete.
  std::size_t heldBytes() const { return headBytes_ + buffer_.capacity(); }
  /// Whether the head was forwarded to the caller.
  bool begun() const { return begun_; }

 private:
  /// What was found so far in the event that is being read.
  struct Event {
    std::string id;
    bool data = false;
  };
  /// Closes the connection to the replica and reports the result.
  StreamSteps endUpstream(UpstreamResult result);
  void endUpstream(StreamSteps& out, UpstreamResult result);
  void beginResponse(StreamSteps& out);
  void dropIncompleteEvent();
  void dropHead();
  StreamSteps onEventChunk(std::string const& bytes);
  /// Forwards the event that begins at `start` of the buffer. Returns false if it cannot follow the last forwarded one.
  bool forwardEvent(StreamSteps& out, std::size_t start);
  /// Forwards what the buffer contains of an event without a blank line, at the end of a complete body. Such bytes are
  /// no event (WHATWG HTML, section 9.2.6), so they need no id. Returns false if they have one that cannot follow the
  /// last forwarded one.
  bool forwardUnfinishedEvent(StreamSteps& out);
  /// Whether an event with this id cannot follow the last forwarded one.
  bool isOutOfOrder(std::string const& id) const;
  /// Whether a body that ended in this way is complete.
  bool isComplete(core::BodyEnd end) const;
  /// Whether the last received bytes end an event, and no further event is known to follow.
  bool isBetweenEvents() const;
  void parseLine(std::size_t from, std::size_t to);
  /// Without its fields once it was forwarded.
  ResponseHead head_;
  /// Memory that the fields of head_ take.
  std::size_t headBytes_ = 0;
  std::string run_;
  /// Number of body bytes received since the response started. After an event stream was resumed, only those received
  /// on this connection count.
  std::uint64_t offset_ = 0;
  bool begun_ = false;
  bool resuming_ = false;
  bool headReceived_ = false;
  bool ended_ = false;
  bool eventsExpected_ = false;
  bool isEventStream_ = false;
  /// A forwarded event has no numeric id, so the stream cannot be resumed after it.
  bool hasUnnumberedEvent_ = false;
  bool hasForwardedId_ = false;
  std::string lastEventId_;
  /// Bytes of the event that is not complete yet.
  std::string buffer_;
  /// Position in buffer_ up to which it was parsed.
  std::size_t scanPosition_ = 0;
  /// Start of the current line in buffer_.
  std::size_t lineStart_ = 0;
  /// The line before the current one ended with CR LF, not with a single CR or LF.
  bool lineEndedWithCrLf_ = false;
  /// The last received byte is a CR that was taken as the end of a line, and an LF that follows belongs to it.
  bool endsWithCr_ = false;
  /// At least one further event follows: none was forwarded yet, or a previous replica had begun to send one. Never set
  /// after a request that names the last event its caller has, unless a replica has begun another event.
  bool eventOutstanding_ = false;
  Event event_;
};

}  // namespace corkward::dataplane
