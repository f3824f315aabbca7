#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/rotor/plane.h>

namespace corkward::rotor {

/// Header fields, names in lower case.
using Fields = std::map<std::string, std::string>;

/// How an answer begins, as the door's mapping reads it.
struct Head {
  int status = 0;
  /// Fields that go back to the caller.
  Fields fields;
  /// Length of the body; below zero: in chunks.
  std::int64_t length = -1;
  /// The replica says that it did not run the request.
  bool notRun = false;
  /// The answer belongs to another request, or is none that may be passed on.
  bool foreign = false;
  /// Name of the run and offset of the body, where the replica tells them.
  std::string run = {};
  std::string offset = {};
};

/// What one event of a replica's connection leads to, in this order.
struct StreamSteps {
  /// Begin the caller's answer.
  std::optional<Head> begin;
  /// Tell the plane that the first word, or the first one after a resume, has come; and whether the run may be resumed.
  std::optional<bool> firstWord;
  /// Bytes for the caller.
  std::string piece;
  /// Close the replica's connection.
  bool abandon = false;
  /// Write the caller's end of body: the replica's own was seen.
  bool finish = false;
  /// Tell the plane how the connection ended.
  std::optional<End> ended;
};

/// What passes from one call's replica connections to its caller, as a pure reducer: which run it is, how far it has come,
/// and whether the end may be told. The door and the simulator run the same one.
class Stream {
 public:
  /// A connection is opened, for the first time or to resume.
  void connecting(bool resume);
  /// Fields that ask the replica to go on, empty unless resuming.
  Fields resumeFields() const;
  StreamSteps head(Head const& head);
  StreamSteps piece(std::string bytes);
  /// The body's own end was seen (true), or the connection ended before it.
  StreamSteps ended(bool whole);
  bool begun() const { return begun_; }

 private:
  StreamSteps over(End end);
  void begin(StreamSteps& out);
  Head head_;
  std::string run_;
  std::uint64_t offset_ = 0;
  bool begun_ = false;
  bool resuming_ = false;
  bool over_ = false;
};

}  // namespace corkward::rotor
