#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <corkward/core/types.h>

namespace corkward::core {

/// One event as the journal keeps it.
struct Entry {
  std::uint64_t number = 0;
  Milliseconds at = 0;
  std::string what;
  std::string about;
};

/// Bounded in-memory journal: events are appended, views are folded from them.
class Journal {
 public:
  explicit Journal(std::size_t bound = 4096) : bound_(bound) {}
  /// Appends one event; the oldest goes when the bound is reached.
  void append(Milliseconds at, std::string what, std::string about);
  /// Folds the kept entries into a view, oldest first.
  template <class View, class Fold>
  View fold(View view, Fold fold) const {
    for (Entry const& e : entries_) view = fold(std::move(view), e);
    return view;
  }
  /// The standing view: how often each event has been appended, those included that the bound has let go.
  std::map<std::string, std::uint64_t> const& counts() const { return counts_; }
  std::uint64_t last() const { return next_; }
  std::size_t size() const { return entries_.size(); }

 private:
  std::size_t bound_;
  std::uint64_t next_ = 0;
  std::deque<Entry> entries_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace corkward::core
