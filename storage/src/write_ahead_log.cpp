#include <corkward/storage/write_ahead_log.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <string_view>
#include <utility>

namespace corkward::storage {

namespace {

constexpr std::size_t headBytes = 8;
constexpr std::uint32_t maxRecord = 32U << 20;

constexpr std::array<std::uint32_t, 256> crcTable = [] {
  std::array<std::uint32_t, 256> t{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t c = i;
    for (int k = 0; k < 8; ++k) c = (c & 1) != 0 ? 0x82F63B78U ^ (c >> 1) : c >> 1;
    t[i] = c;
  }
  return t;
}();

std::uint32_t crc(char const* data, std::size_t size) {
  std::uint32_t c = 0xFFFFFFFFU;
  for (std::size_t i = 0; i < size; ++i) c = crcTable[(c ^ static_cast<unsigned char>(data[i])) & 0xFFU] ^ (c >> 8);
  return ~c;
}

void putNumber(std::string& out, std::uint32_t n) {
  for (int i = 0; i < 4; ++i) out += static_cast<char>((n >> (8 * i)) & 0xFFU);
}

std::uint32_t getNumber(char const* p) {
  std::uint32_t n = 0;
  for (int i = 0; i < 4; ++i) n |= static_cast<std::uint32_t>(static_cast<unsigned char>(p[i])) << (8 * i);
  return n;
}

/// Reads framed records; returns how many bytes were complete and intact.
std::size_t readAll(std::string_view bytes, std::map<std::string, std::string>& slots) {
  std::size_t at = 0;
  while (bytes.size() - at >= headBytes) {
    std::uint32_t const size = getNumber(bytes.data() + at);
    if (size < 4 || size > maxRecord || bytes.size() - at - headBytes < size) break;
    char const* body = bytes.data() + at + headBytes;
    if (crc(body, size) != getNumber(bytes.data() + at + 4)) break;
    std::uint32_t const keyBytes = getNumber(body);
    if (keyBytes > size - 4) break;
    slots[std::string(body + 4, keyBytes)] = std::string(body + 4 + keyBytes, size - 4 - keyBytes);
    at += headBytes + size;
  }
  return at;
}

/// True when complete records follow the damaged offset: then the damage is not a torn last write.
bool hasCompleteRecordAfter(std::string_view bytes, std::size_t bad) {
  std::map<std::string, std::string> behind;
  for (std::size_t at = bad + 1; at + headBytes < bytes.size(); ++at)
    if (readAll(bytes.substr(at), behind) > 0) return true;
  return false;
}

std::string numbered(char const* kind, std::uint64_t n) {
  std::array<char, 40> name{};
  std::snprintf(name.data(), name.size(), "%s-%012llu", kind, static_cast<unsigned long long>(n));
  return name.data();
}

bool numberOf(std::string const& name, std::string const& kind, std::uint64_t& n) {
  if (name.size() != kind.size() + 13 || name.compare(0, kind.size() + 1, kind + "-") != 0) return false;
  n = 0;
  for (std::size_t i = kind.size() + 1; i < name.size(); ++i) {
    if (name[i] < '0' || name[i] > '9') return false;
    n = n * 10 + static_cast<std::uint64_t>(name[i] - '0');
  }
  return true;
}

/// A snapshot that is being written.
constexpr char const* unfinishedSnapshot = "image.new";
/// Key of a snapshot's last record.
constexpr char const* snapshotEnd = "\x01image-end";

}  // namespace

std::string frame(Record const& record) {
  std::string body;
  putNumber(body, static_cast<std::uint32_t>(record.key.size()));
  body += record.key;
  body += record.payload;
  std::string out;
  putNumber(out, static_cast<std::uint32_t>(body.size()));
  putNumber(out, crc(body.data(), body.size()));
  return out + body;
}

void quarantine(Directory& folder, std::string const& label) {
  constexpr char const* prefix = "damaged-";
  std::string const newPrefix = prefix + label + "-";
  std::vector<std::pair<std::uint64_t, std::string>> files;
  for (std::string const& name : folder.list()) {
    std::uint64_t n = 0;
    if (name.rfind(prefix, 0) == 0)
      folder.remove(name);
    else if (numberOf(name, "image", n) || numberOf(name, "segment", n) || name == unfinishedSnapshot)
      files.emplace_back(n, name);
  }
  // From the oldest on, a snapshot before its segment: what is left after each step still lacks or shows the damage.
  std::sort(files.begin(), files.end());
  for (auto const& [number, name] : files) {
    folder.rename(name, newPrefix + name);
    folder.syncDirectory();
  }
}

WriteAheadLog::WriteAheadLog(Directory& folder, std::uint64_t segmentBytes)
    : folder_(folder), segmentBytes_(segmentBytes) {}

RecoveredState WriteAheadLog::recover() {
  RecoveredState out;
  failed_ = true;
  std::uint64_t snapshotNo = 0;
  std::vector<std::uint64_t> segments;
  for (std::string const& name : folder_.list()) {
    std::uint64_t n = 0;
    if (numberOf(name, "image", n)) snapshotNo = std::max(snapshotNo, n);
    if (numberOf(name, "segment", n)) segments.push_back(n);
  }
  std::sort(segments.begin(), segments.end());
  segment_ = std::max<std::uint64_t>(snapshotNo, 1);
  std::erase_if(segments, [&](std::uint64_t n) { return n < segment_; });
  if (snapshotNo > 0) readSnapshot(snapshotNo, out);
  readSegments(segments, out);
  out.slots = slots_;
  if (out.damaged) return out;
  if (snapshotNo == 0 && segments.empty()) {
    failed_ = false;
    return out;
  }
  // The process before may have ended between a write and its sync. The caller answers from what was read, so it has to
  // outlive a loss of power from here on.
  if (!segments.empty()) folder_.sync(numbered("segment", segment_));
  folder_.syncDirectory();
  removeOld();
  failed_ = false;
  return out;
}

void WriteAheadLog::readSnapshot(std::uint64_t number, RecoveredState& out) {
  std::string const bytes = folder_.read(numbered("image", number));
  std::size_t const good = readAll(bytes, slots_);
  if (good == bytes.size() && slots_.erase(snapshotEnd) > 0) return;
  out.damaged = true;
  out.damage = numbered("image", number);
}

void WriteAheadLog::readSegments(std::vector<std::uint64_t> const& segments, RecoveredState& out) {
  std::uint64_t expect = segment_;
  for (std::uint64_t const n : segments) {
    if (n != expect) {
      out.damaged = true;
      out.damage = numbered("segment", expect) + " missing";
    }
    expect = n + 1;
    std::string const name = numbered("segment", n);
    std::string const bytes = folder_.read(name);
    std::size_t const good = readAll(bytes, slots_);
    bool const torn = good != bytes.size();
    if (torn && (n != segments.back() || hasCompleteRecordAfter(bytes, good))) {
      out.damaged = true;
      out.damage = name + " at byte " + std::to_string(good);
    } else if (torn) {
      out.tornTail = true;
      folder_.truncate(name, good);
    }
    size_ = good;
    segment_ = n;
  }
}

void WriteAheadLog::removeOld() {
  for (std::string const& name : folder_.list()) {
    std::uint64_t n = 0;
    bool const numberedName = numberOf(name, "segment", n) || numberOf(name, "image", n);
    if (name == unfinishedSnapshot || (numberedName && n < segment_)) folder_.remove(name);
  }
}

void WriteAheadLog::write(std::vector<Record> const& records) {
  if (failed_) throw StorageError("the write-ahead log has failed before");
  std::string bytes;
  for (Record const& r : records) bytes += frame(r);
  try {
    std::string const name = numbered("segment", segment_);
    bool const fresh = size_ == 0;
    folder_.append(name, bytes);
    folder_.sync(name);
    if (fresh) folder_.syncDirectory();
    size_ += bytes.size();
    for (Record const& r : records) slots_[r.key] = r.payload;
    if (size_ >= segmentBytes_) snapshot();
  } catch (StorageError const&) {
    failed_ = true;
    throw;
  }
}

void WriteAheadLog::snapshot() {
  std::uint64_t const next = segment_ + 1;
  std::string bytes;
  for (auto const& [key, value] : slots_) bytes += frame(Record{key, value});
  bytes += frame(Record{snapshotEnd, ""});
  std::string const fresh = unfinishedSnapshot;
  for (std::string const& name : folder_.list())
    if (name == fresh) folder_.remove(fresh);
  folder_.append(fresh, bytes);
  folder_.sync(fresh);
  folder_.rename(fresh, numbered("image", next));
  folder_.syncDirectory();
  segment_ = next;
  size_ = 0;
  removeOld();
}

}  // namespace corkward::storage
