#pragma once

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <corkward/storage/write_ahead_log.h>

#include "storage/test/crash_directory.h"
#include "testing/golden/golden.h"

/// Directories as golden files. Each file begins with the line "file NAME". Its bytes follow as lines "x HEX" or as
/// lines of text: "= TEXT" for a line that ends in a newline, "- TEXT" for a last line that does not.
namespace corkward::golden {

/// Content of a directory by file name.
using Files = std::map<std::string, std::string>;

/// How the bytes of a file are written in the golden file.
enum class Form { hex, text };

inline std::string hexOf(std::string const& bytes) {
  constexpr char const* digits = "0123456789abcdef";
  std::string out;
  for (char const c : bytes) {
    out += digits[static_cast<unsigned char>(c) >> 4U];
    out += digits[static_cast<unsigned char>(c) & 15U];
  }
  return out;
}

inline std::string bytesOf(std::string const& hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return out;
}

inline std::string contentText(std::string const& bytes, Form form) {
  constexpr std::size_t bytesInLine = 48;
  std::string out;
  std::size_t at = 0;
  while (at < bytes.size()) {
    std::size_t const newline = bytes.find('\n', at);
    std::size_t const size = form == Form::hex ? bytesInLine : newline - at;
    std::string const part = bytes.substr(at, size);
    bool const ended = form == Form::text && newline != std::string::npos;
    out += form == Form::hex ? "x " + hexOf(part) : (ended ? "= " : "- ") + part;
    out += "\n";
    at += part.size() + (ended ? 1 : 0);
  }
  return out;
}

inline std::string filesText(Files const& files, Form form) {
  std::string out;
  for (auto const& [name, bytes] : files) out += "file " + name + "\n" + contentText(bytes, form);
  return out;
}

/// Returns the directory that a golden file contains.
inline Files readFiles(std::string const& goldenFile) {
  constexpr std::size_t markSize = 2;
  std::string const fileMark = "file ";
  Files out;
  std::string name;
  for (std::string const& line : lines(read(goldenFile))) {
    if (line.rfind(fileMark, 0) == 0) {
      name = line.substr(fileMark.size());
      out[name];
      continue;
    }
    std::string const rest = line.substr(markSize);
    out[name] += line[0] == 'x' ? bytesOf(rest) : line[0] == '=' ? rest + "\n" : rest;
  }
  return out;
}

/// A directory in memory that records each change.
class RecordingDirectory : public storage::CrashDirectory {
 public:
  RecordingDirectory() = default;
  /// Creates a directory with these files, all synced.
  explicit RecordingDirectory(Files const& files) {
    for (auto const& [name, bytes] : files) {
      storage::CrashDirectory::append(name, bytes);
      storage::CrashDirectory::sync(name);
    }
    storage::CrashDirectory::syncDirectory();
  }

  /// Changes so far, one per line.
  std::string changes;
  /// If true, removals don't reach the disk, as after a power loss.
  bool losesRemovals = false;

  void append(std::string const& name, std::string const& bytes) override {
    note("append " + name + " " + std::to_string(bytes.size()) + " bytes");
    storage::CrashDirectory::append(name, bytes);
  }
  void sync(std::string const& name) override {
    note("sync " + name);
    storage::CrashDirectory::sync(name);
  }
  void rename(std::string const& from, std::string const& to) override {
    note("rename " + from + " to " + to);
    storage::CrashDirectory::rename(from, to);
  }
  void remove(std::string const& name) override {
    note("remove " + name);
    if (!losesRemovals) storage::CrashDirectory::remove(name);
  }
  void truncate(std::string const& name, std::uint64_t size) override {
    note("truncate " + name + " to " + std::to_string(size) + " bytes");
    storage::CrashDirectory::truncate(name, size);
  }
  void syncDirectory() override {
    note("sync folder");
    storage::CrashDirectory::syncDirectory();
  }

 private:
  void note(std::string const& change) { changes += change + "\n"; }
};

/// Returns the content of a directory.
inline Files filesOf(storage::Directory& folder) {
  Files out;
  for (std::string const& name : folder.list()) out[name] = folder.read(name);
  return out;
}

}  // namespace corkward::golden
