#include <corkward/dataplane/response_stream.h>

#include <algorithm>

#include <corkward/core/guarantees.h>

namespace corkward::dataplane {

namespace {

constexpr std::size_t longestEvent = 1U << 20;

bool number(std::string const& id) {
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool above(std::string const& id, std::string const& last) {
  std::size_t const a = std::min(id.find_first_not_of('0'), id.size());
  std::size_t const b = std::min(last.find_first_not_of('0'), last.size());
  if (id.size() - a != last.size() - b) return id.size() - a > last.size() - b;
  return id.compare(a, std::string::npos, last, b, std::string::npos) > 0;
}

}  // namespace

void ResponseStream::asEvents(std::string lastId) {
  asEvents_ = true;
  lastId_ = std::move(lastId);
}

void ResponseStream::connecting(bool resume) {
  resuming_ = resume && begun_;
  headed_ = false;
  over_ = false;
  tail_.clear();
  scanned_ = 0;
  lineAt_ = 0;
  lineFeeds_ = false;
  event_ = Event{};
  if (begun_) return;
  head_ = ResponseHead{};
  run_.clear();
  offset_ = 0;
  row_ = false;
}

Resume ResponseStream::resume() const {
  if (!resuming_) return Resume{.lastEvent = lastId_};
  return Resume{true, run_, offset_, lastId_};
}

StreamSteps ResponseStream::over(UpstreamResult end) {
  StreamSteps out;
  over(out, end);
  return out;
}

void ResponseStream::over(StreamSteps& out, UpstreamResult end) {
  if (over_) return;
  over_ = true;
  out.closeUpstream = true;
  out.ended = end;
}

StreamSteps ResponseStream::head(ResponseHead const& head) {
  if (over_) return {};
  headed_ = true;
  if (head.foreign) return over(UpstreamResult::connectionLost);
  if (resuming_) {
    if (row_ && head.notExecuted) return over(UpstreamResult::notExecuted);
    bool const same =
        row_ ? head.status >= 200 && head.status < 300 && head.events && !unnumbered_
             : head.status == 206 && !head.run.empty() && head.run == run_ && head.offset == std::to_string(offset_);
    if (!same) return over(row_ && head.failed ? UpstreamResult::connectionLost : UpstreamResult::differentExecution);
    if (row_) {
      head_.length = head.length;
      offset_ = 0;
    }
    StreamSteps out;
    out.firstByte = true;
    return out;
  }
  if (head.notExecuted) return over(UpstreamResult::notExecuted);
  if (head.status < 200 || head.status > 599) return over(UpstreamResult::connectionLost);
  run_ = head.run;
  head_ = head;
  row_ = asEvents_ && head.events && head.status < 300 && !head.bodiless;
  StreamSteps out;
  out.failed = head.failed;
  return out;
}

void ResponseStream::begin(StreamSteps& out) {
  if (begun_) return;
  begun_ = true;
  out.begin = head_;
  if (row_) out.begin->length = -1;
  out.firstByte = row_ ? !unnumbered_ : !run_.empty();
}

StreamSteps ResponseStream::piece(std::string bytes) {
  if (over_) return {};
  std::uint64_t const after = offset_ + bytes.size();
  if (!headed_ || (head_.length >= 0 && after > static_cast<std::uint64_t>(head_.length)))
    return over(UpstreamResult::connectionLost);
  offset_ = after;
  if (row_) return eventPiece(bytes);
  StreamSteps out;
  begin(out);
  out.chunk = std::move(bytes);
  return out;
}

StreamSteps ResponseStream::eventPiece(std::string const& bytes) {
  StreamSteps out;
  tail_ += bytes;
  std::size_t start = 0;
  while (scanned_ < tail_.size()) {
    char const c = tail_[scanned_];
    if (c != '\n' && c != '\r') {
      ++scanned_;
      continue;
    }
    bool const blank = scanned_ == lineAt_;
    if (c == '\r' && (!blank || lineFeeds_) && scanned_ + 1 == tail_.size()) break;
    std::size_t next = scanned_ + 1;
    lineFeeds_ = c == '\r' && next < tail_.size() && tail_[next] == '\n';
    if (lineFeeds_) ++next;
    line(lineAt_, scanned_);
    scanned_ = next;
    lineAt_ = next;
    if (!blank) continue;
    if (!pass(out, start)) return out;
    start = next;
  }
  tail_.erase(0, start);
  scanned_ -= start;
  lineAt_ -= start;
  if (tail_.size() > longestEvent) over(out, UpstreamResult::connectionLost);
  return out;
}

void ResponseStream::line(std::size_t from, std::size_t to) {
  std::string::const_iterator const first = tail_.cbegin() + static_cast<std::ptrdiff_t>(from);
  std::size_t const nameEnd =
      from + static_cast<std::size_t>(std::find(first, tail_.cbegin() + static_cast<std::ptrdiff_t>(to), ':') - first);
  if (tail_.compare(from, nameEnd - from, "data") == 0) event_.data = true;
  if (tail_.compare(from, nameEnd - from, "id") != 0) return;
  std::size_t value = std::min(nameEnd + 1, to);
  if (value < to && tail_[value] == ' ') ++value;
  event_.id = tail_.substr(value, to - value);
}

bool ResponseStream::pass(StreamSteps& out, std::size_t start) {
  Event const event = std::exchange(event_, Event{});
  bool const numbered = number(event.id);
  bool const told = event.data || !event.id.empty();
  if ((numbered && idPassed_ && !above(event.id, lastId_)) || (resuming_ && told && !numbered)) {
    over(out, UpstreamResult::differentExecution);
    return false;
  }
  if (numbered) {
    CORKWARD_GUARANTEE(core::Guarantee::eventsInOrder, !idPassed_ || above(event.id, lastId_),
                       event.id + " after " + lastId_);
    lastId_ = event.id;
    idPassed_ = true;
  } else if (told) {
    unnumbered_ = true;
  }
  begin(out);
  out.chunk.append(tail_, start, lineAt_ - start);
  return true;
}

StreamSteps ResponseStream::ended(bool whole) {
  if (over_) return {};
  std::uint64_t const length = head_.bodiless ? 0 : static_cast<std::uint64_t>(head_.length);
  bool const all = whole && headed_ && ((head_.length < 0 && !head_.bodiless) || offset_ == length);
  if (!all) return over(UpstreamResult::connectionLost);
  StreamSteps out;
  if (row_ && !tail_.empty()) {
    if (lineAt_ < tail_.size()) line(lineAt_, std::max(lineAt_, tail_.find_last_not_of('\r') + 1));
    lineAt_ = tail_.size();
    if (!pass(out, 0)) return out;
  }
  begin(out);
  over(out, UpstreamResult::complete);
  out.finish = true;
  return out;
}

}  // namespace corkward::dataplane
