#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <corkward/core/types.h>

namespace corkward::core {

/// One event in the journal.
struct JournalEntry {
  /// Counts the appended events, from 1.
  std::uint64_t number = 0;
  Milliseconds at = 0;
  /// Name of the event.
  std::string event;
  /// The object that the event concerns, for example a key or a link address.
  std::string subject;
};

/// An in-memory journal of events with a bounded number of entries, and with counts of all events.
class Journal {
 public:
  /// @param maxEntries number of entries that are kept
  explicit Journal(std::size_t maxEntries = 4096) : maxEntries_(maxEntries) {}
  /// Appends one event. Removes the oldest entry if there are more than the bound allows.
  void append(Milliseconds at, std::string event, std::string subject);
  /// Reduces the entries to one value, from the oldest to the newest.
  template <class Value, class Reduce>
  Value reduce(Value value, Reduce reduce) const {
    for (JournalEntry const& e : entries_) value = reduce(std::move(value), e);
    return value;
  }
  /// Returns how often each event was appended, including entries that have been removed.
  std::map<std::string, std::uint64_t> const& counts() const { return counts_; }
  /// Number of the newest entry, or 0 if there is none.
  std::uint64_t last() const { return lastNumber_; }
  std::size_t size() const { return entries_.size(); }

 private:
  std::size_t maxEntries_;
  std::uint64_t lastNumber_ = 0;
  std::deque<JournalEntry> entries_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace corkward::core
