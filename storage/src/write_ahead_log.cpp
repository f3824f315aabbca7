#include <corkward/storage/write_ahead_log.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <string_view>
#include <utility>

namespace corkward::storage {

namespace {

/// Length and checksum in front of each record.
constexpr std::size_t headBytes = 8;
/// Greatest length of a record that is read, in bytes. A greater length means that the record is damaged.
constexpr std::uint32_t maxRecordBytes = 32U << 20;

constexpr std::array<std::uint32_t, 256> crcTable = [] {
  std::array<std::uint32_t, 256> t{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t c = i;
    for (int k = 0; k < 8; ++k) c = (c & 1) != 0 ? 0x82F63B78U ^ (c >> 1) : c >> 1;
    t[i] = c;
  }
  return t;
}();

/// CRC-32C (Castagnoli).
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

/// Reads records into `slots` up to the first incomplete or damaged one. Returns the number of bytes read.
std::size_t readAll(std::string_view bytes, std::map<std::string, std::string>& slots) {
  std::size_t at = 0;
  while (bytes.size() - at >= headBytes) {
    std::uint32_t const size = getNumber(bytes.data() + at);
    if (size < 4 || size > maxRecordBytes || bytes.size() - at - headBytes < size) break;
    char const* body = bytes.data() + at + headBytes;
    if (crc(body, size) != getNumber(bytes.data() + at + 4)) break;
    std::uint32_t const keyBytes = getNumber(body);
    if (keyBytes > size - 4) break;
    slots[std::string(body + 4, keyBytes)] = std::string(body + 4 + keyBytes, size - 4 - keyBytes);
    at += headBytes + size;
  }
  return at;
}

/// Returns true if there is a complete record after the damaged offset. The damage is then not a torn last write.
bool hasCompleteRecordAfter(std::string_view bytes, std::size_t damagedAt) {
  std::map<std::string, std::string> ignored;
  for (std::size_t at = damagedAt + 1; at + headBytes < bytes.size(); ++at)
    if (readAll(bytes.substr(at), ignored) > 0) return true;
  return false;
}

/// Returns the name of a segment or snapshot.
std::string fileName(char const* kind, std::uint64_t n) {
  std::array<char, 40> name{};
  std::snprintf(name.data(), name.size(), "%s-%012llu", kind, static_cast<unsigned long long>(n));
  return name.data();
}

/// Returns true if the name is one of this kind, and stores its number in `n`.
bool parseNumber(std::string const& name, std::string const& kind, std::uint64_t& n) {
  if (name.size() != kind.size() + 13 || name.compare(0, kind.size() + 1, kind + "-") != 0) return false;
  n = 0;
  for (std::size_t i = kind.size() + 1; i < name.size(); ++i) {
    if (name[i] < '0' || name[i] > '9') return false;
    n = n * 10 + static_cast<std::uint64_t>(name[i] - '0');
  }
  return true;
}

/// Name of a snapshot while it is being written.
constexpr char const* unfinishedSnapshot = "image.new";
/// Key of the last record of a snapshot. A snapshot without it is incomplete.
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

void quarantine(Directory& directory, std::string const& label) {
  constexpr char const* prefix = "damaged-";
  std::string const newPrefix = prefix + label + "-";
  std::vector<std::pair<std::uint64_t, std::string>> files;
  for (std::string const& name : directory.list()) {
    std::uint64_t n = 0;
    if (name.rfind(prefix, 0) == 0)
      directory.remove(name);
    else if (parseNumber(name, "image", n) || parseNumber(name, "segment", n) || name == unfinishedSnapshot)
      files.emplace_back(n, name);
  }
  // Renames the oldest files first, and a snapshot before the segment of the same number. After each step the remaining
  // files are then still recognized as damaged, or there are none.
  std::sort(files.begin(), files.end());
  for (auto const& [number, name] : files) {
    directory.rename(name, newPrefix + name);
    directory.syncDirectory();
  }
}

WriteAheadLog::WriteAheadLog(Directory& directory, std::uint64_t segmentBytes)
    : directory_(directory), segmentBytes_(segmentBytes) {}

RecoveredState WriteAheadLog::recover() {
  RecoveredState out;
  failed_ = true;
  std::uint64_t snapshotNumber = 0;
  std::vector<std::uint64_t> segments;
  for (std::string const& name : directory_.list()) {
    std::uint64_t n = 0;
    if (parseNumber(name, "image", n)) snapshotNumber = std::max(snapshotNumber, n);
    if (parseNumber(name, "segment", n)) segments.push_back(n);
  }
  std::sort(segments.begin(), segments.end());
  segment_ = std::max<std::uint64_t>(snapshotNumber, 1);
  std::erase_if(segments, [&](std::uint64_t n) { return n < segment_; });
  if (snapshotNumber > 0) readSnapshot(snapshotNumber, out);
  readSegments(segments, out);
  out.slots = slots_;
  if (out.damaged) return out;
  if (snapshotNumber == 0 && segments.empty()) {
    failed_ = false;
    return out;
  }
  // The previous process may have exited between a write and its sync. The caller sends replies that depend on what was
  // read, so that must survive a power loss from now on.
  if (!segments.empty()) directory_.sync(fileName("segment", segment_));
  directory_.syncDirectory();
  removeOld();
  failed_ = false;
  return out;
}

void WriteAheadLog::readSnapshot(std::uint64_t number, RecoveredState& out) {
  std::string const bytes = directory_.read(fileName("image", number));
  std::size_t const good = readAll(bytes, slots_);
  if (good == bytes.size() && slots_.erase(snapshotEnd) > 0) return;
  out.damaged = true;
  out.damage = fileName("image", number);
}

void WriteAheadLog::readSegments(std::vector<std::uint64_t> const& segments, RecoveredState& out) {
  std::uint64_t expected = segment_;
  for (std::uint64_t const n : segments) {
    if (n != expected) {
      out.damaged = true;
      out.damage = fileName("segment", expected) + " missing";
    }
    expected = n + 1;
    std::string const name = fileName("segment", n);
    std::string const bytes = directory_.read(name);
    std::size_t const good = readAll(bytes, slots_);
    bool const torn = good != bytes.size();
    if (torn && (n != segments.back() || hasCompleteRecordAfter(bytes, good))) {
      out.damaged = true;
      out.damage = name + " at byte " + std::to_string(good);
    } else if (torn) {
      out.tornTail = true;
      directory_.truncate(name, good);
    }
    segmentSize_ = good;
    segment_ = n;
  }
}

void WriteAheadLog::removeOld() {
  for (std::string const& name : directory_.list()) {
    std::uint64_t n = 0;
    bool const isLogFile = parseNumber(name, "segment", n) || parseNumber(name, "image", n);
    if (name == unfinishedSnapshot || (isLogFile && n < segment_)) directory_.remove(name);
  }
}

void WriteAheadLog::write(std::vector<Record> const& records) {
  if (failed_) throw StorageError("the write-ahead log cannot be written: a previous operation failed or found damage");
  std::string bytes;
  for (Record const& r : records) bytes += frame(r);
  try {
    std::string const name = fileName("segment", segment_);
    bool const isNew = segmentSize_ == 0;
    directory_.append(name, bytes);
    directory_.sync(name);
    if (isNew) directory_.syncDirectory();
    segmentSize_ += bytes.size();
    for (Record const& r : records) slots_[r.key] = r.payload;
    if (segmentSize_ >= segmentBytes_) writeSnapshot();
  } catch (...) {
    failed_ = true;
    throw;
  }
}

void WriteAheadLog::writeSnapshot() {
  std::uint64_t const next = segment_ + 1;
  std::string bytes;
  for (auto const& [key, value] : slots_) bytes += frame(Record{key, value});
  bytes += frame(Record{snapshotEnd, ""});
  std::string const unfinished = unfinishedSnapshot;
  for (std::string const& name : directory_.list())
    if (name == unfinished) directory_.remove(unfinished);
  directory_.append(unfinished, bytes);
  directory_.sync(unfinished);
  directory_.rename(unfinished, fileName("image", next));
  directory_.syncDirectory();
  segment_ = next;
  segmentSize_ = 0;
  removeOld();
}

}  // namespace corkward::storage
