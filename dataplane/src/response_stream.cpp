#include <corkward/dataplane/response_stream.h>

#include <algorithm>

#include <corkward/core/guarantees.h>

namespace corkward::dataplane {

namespace {

/// Maximum size of an event in bytes.
constexpr std::size_t maxEventBytes = 1U << 20;

/// Memory that the buffer of events may keep beyond what it holds.
constexpr std::size_t maxUnusedBytes = 16U << 10;

/// Whether the id consists of decimal digits only.
bool isNumber(std::string const& id) {
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Whether one numeric id is greater than another. The ids may have any number of digits and leading zeros.
bool isGreater(std::string const& id, std::string const& last) {
  std::size_t const idStart = std::min(id.find_first_not_of('0'), id.size());
  std::size_t const lastStart = std::min(last.find_first_not_of('0'), last.size());
  if (id.size() - idStart != last.size() - lastStart) return id.size() - idStart > last.size() - lastStart;
  return id.compare(idStart, std::string::npos, last, lastStart, std::string::npos) > 0;
}

/// Returns the memory that a text takes beyond its object.
std::size_t textBytes(std::string const& text) {
  return text.capacity() <= std::string().capacity() ? 0 : text.capacity();
}

std::size_t memoryOf(HeaderList const& fields) {
  std::size_t bytes = fields.capacity() * sizeof(HeaderList::value_type);
  for (auto const& [name, value] : fields) bytes += textBytes(name) + textBytes(value);
  return bytes;
}

}  // namespace

void ResponseStream::expectEvents(std::string lastEventId) {
  eventsExpected_ = true;
  lastEventId_ = std::move(lastEventId);
  eventOutstanding_ = lastEventId_.empty();
}

void ResponseStream::onConnecting(bool resume) {
  resuming_ = resume && begun_;
  headReceived_ = false;
  ended_ = false;
  dropIncompleteEvent();
  if (begun_) return;
  dropHead();
  run_.clear();
  offset_ = 0;
  isEventStream_ = false;
}

void ResponseStream::dropIncompleteEvent() {
  eventOutstanding_ = eventOutstanding_ || !buffer_.empty();
  std::string().swap(buffer_);
  scanPosition_ = 0;
  lineStart_ = 0;
  lineEndedWithCrLf_ = false;
  endsWithCr_ = false;
  event_ = Event{};
}

void ResponseStream::dropHead() {
  head_ = ResponseHead{};
  headBytes_ = 0;
}

StreamSteps ResponseStream::giveUp() {
  if (ended_) return {};
  dropIncompleteEvent();
  if (!begun_) dropHead();
  return endUpstream(UpstreamResult::connectionLost);
}

Resume ResponseStream::resume() const {
  if (!resuming_) return Resume{.lastEvent = lastEventId_};
  return Resume{true, run_, offset_, lastEventId_};
}

StreamSteps ResponseStream::endUpstream(UpstreamResult result) {
  StreamSteps out;
  endUpstream(out, result);
  return out;
}

void ResponseStream::endUpstream(StreamSteps& out, UpstreamResult result) {
  if (ended_) return;
  ended_ = true;
  out.closeUpstream = true;
  out.ended = result;
}

StreamSteps ResponseStream::onHead(ResponseHead const& head) {
  if (ended_) return {};
  headReceived_ = true;
  if (head.foreign) return endUpstream(UpstreamResult::connectionLost);
  if (resuming_) {
    if (isEventStream_ && head.notExecuted) return endUpstream(UpstreamResult::notExecuted);
    bool const sameExecution =
        isEventStream_
            ? head.status >= 200 && head.status < 300 && head.events && !hasUnnumberedEvent_
            : head.status == 206 && !head.run.empty() && head.run == run_ && head.offset == std::to_string(offset_);
    if (!sameExecution)
      return endUpstream(isEventStream_ && head.failed ? UpstreamResult::connectionLost
                                                       : UpstreamResult::differentExecution);
    if (isEventStream_) {
      head_.length = head.length;
      offset_ = 0;
    }
    StreamSteps out;
    out.firstByte = true;
    return out;
  }
  if (head.notExecuted) return endUpstream(UpstreamResult::notExecuted);
  if (head.status < 200 || head.status > 599) return endUpstream(UpstreamResult::connectionLost);
  run_ = head.run;
  head_ = head;
  headBytes_ = memoryOf(head_.fields);
  isEventStream_ = eventsExpected_ && head.events && head.status < 300 && !head.bodiless;
  StreamSteps out;
  out.failed = head.failed;
  return out;
}

void ResponseStream::beginResponse(StreamSteps& out) {
  if (begun_) return;
  begun_ = true;
  HeaderList fields = std::exchange(head_.fields, {});
  headBytes_ = 0;
  out.begin = head_;
  out.begin->fields = std::move(fields);
  if (isEventStream_) out.begin->length = -1;
  out.firstByte = isEventStream_ ? !hasUnnumberedEvent_ : !run_.empty();
}

StreamSteps ResponseStream::onChunk(std::string bytes) {
  if (ended_) return {};
  std::uint64_t const newOffset = offset_ + bytes.size();
  if (!headReceived_ || (head_.length >= 0 && newOffset > static_cast<std::uint64_t>(head_.length)))
    return endUpstream(UpstreamResult::connectionLost);
  offset_ = newOffset;
  if (isEventStream_) return onEventChunk(bytes);
  StreamSteps out;
  beginResponse(out);
  out.chunk = std::move(bytes);
  return out;
}

StreamSteps ResponseStream::onEventChunk(std::string const& bytes) {
  StreamSteps out;
  buffer_ += bytes;
  std::size_t start = 0;
  while (scanPosition_ < buffer_.size()) {
    char const c = buffer_[scanPosition_];
    if (c != '\n' && c != '\r') {
      ++scanPosition_;
      continue;
    }
    bool const blank = scanPosition_ == lineStart_;
    if (c == '\r' && (!blank || lineEndedWithCrLf_) && scanPosition_ + 1 == buffer_.size()) break;
    std::size_t next = scanPosition_ + 1;
    bool const completesCrLf = c == '\n' && blank && endsWithCr_;
    bool const isCrLf = c == '\r' && next < buffer_.size() && buffer_[next] == '\n';
    if (isCrLf) ++next;
    lineEndedWithCrLf_ = isCrLf || completesCrLf;
    endsWithCr_ = c == '\r' && !isCrLf && next == buffer_.size();
    parseLine(lineStart_, scanPosition_);
    scanPosition_ = next;
    lineStart_ = next;
    if (!blank) continue;
    if (!forwardEvent(out, start)) return out;
    start = next;
  }
  buffer_.erase(0, start);
  scanPosition_ -= start;
  lineStart_ -= start;
  if (start > 0 && buffer_.capacity() - buffer_.size() > maxUnusedBytes) buffer_.shrink_to_fit();
  if (buffer_.size() > maxEventBytes) {
    dropIncompleteEvent();
    endUpstream(out, UpstreamResult::connectionLost);
  }
  return out;
}

void ResponseStream::parseLine(std::size_t from, std::size_t to) {
  std::string::const_iterator const first = buffer_.cbegin() + static_cast<std::ptrdiff_t>(from);
  std::size_t const nameEnd =
      from +
      static_cast<std::size_t>(std::find(first, buffer_.cbegin() + static_cast<std::ptrdiff_t>(to), ':') - first);
  if (buffer_.compare(from, nameEnd - from, "data") == 0) event_.data = true;
  if (buffer_.compare(from, nameEnd - from, "id") != 0) return;
  std::size_t value = std::min(nameEnd + 1, to);
  if (value < to && buffer_[value] == ' ') ++value;
  event_.id = buffer_.substr(value, to - value);
}

bool ResponseStream::forwardEvent(StreamSteps& out, std::size_t start) {
  Event const event = std::exchange(event_, Event{});
  bool const numbered = isNumber(event.id);
  bool const hasContent = event.data || !event.id.empty();
  if (isOutOfOrder(event.id) || (resuming_ && hasContent && !numbered)) {
    endUpstream(out, UpstreamResult::differentExecution);
    return false;
  }
  if (numbered) {
    CORKWARD_GUARANTEE(core::Guarantee::eventsInOrder, !hasForwardedId_ || isGreater(event.id, lastEventId_),
                       event.id + " after " + lastEventId_);
    lastEventId_ = event.id;
    hasForwardedId_ = true;
  } else if (hasContent) {
    hasUnnumberedEvent_ = true;
  }
  if (hasContent) eventOutstanding_ = false;
  beginResponse(out);
  out.chunk.append(buffer_, start, lineStart_ - start);
  return true;
}

bool ResponseStream::forwardUnfinishedEvent(StreamSteps& out) {
  if (buffer_.empty()) return true;
  // A CR ends the last line even if the LF of a CR LF is missing.
  if (buffer_.back() == '\r') parseLine(lineStart_, buffer_.size() - 1);
  if (isOutOfOrder(event_.id)) {
    endUpstream(out, UpstreamResult::differentExecution);
    return false;
  }
  beginResponse(out);
  out.chunk.append(buffer_);
  return true;
}

bool ResponseStream::isOutOfOrder(std::string const& id) const {
  return isNumber(id) && hasForwardedId_ && !isGreater(id, lastEventId_);
}

bool ResponseStream::isBetweenEvents() const {
  return buffer_.empty() && !eventOutstanding_;
}

bool ResponseStream::isComplete(core::BodyEnd end) const {
  if (!headReceived_) return false;
  std::uint64_t const length = head_.bodiless ? 0 : static_cast<std::uint64_t>(head_.length);
  bool const hasAllBytes = (head_.length < 0 && !head_.bodiless) || offset_ == length;
  switch (end) {
    case core::BodyEnd::framed:
      return hasAllBytes;
    case core::BodyEnd::connectionClosed:
      return hasAllBytes && (!isEventStream_ || isBetweenEvents());
    case core::BodyEnd::incomplete:
      return false;
  }
  return false;
}

StreamSteps ResponseStream::onEnd(core::BodyEnd end) {
  if (ended_) return {};
  if (!isComplete(end)) return endUpstream(UpstreamResult::connectionLost);
  StreamSteps out;
  if (isEventStream_ && !forwardUnfinishedEvent(out)) return out;
  beginResponse(out);
  endUpstream(out, UpstreamResult::complete);
  out.finish = true;
  return out;
}

}  // namespace corkward::dataplane
