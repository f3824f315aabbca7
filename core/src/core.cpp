#include <corkward/core/error.h>
#include <corkward/core/journal.h>
#include <corkward/core/types.h>

namespace corkward::core {

NameIndex InternedNames::intern(std::string const& name) {
  auto const it = byName_.find(name);
  if (it != byName_.end()) return it->second;
  auto index = static_cast<NameIndex>(names_.size());
  if (free_.empty()) {
    names_.push_back(name);
  } else {
    index = free_.back();
    free_.pop_back();
    names_[index] = name;
  }
  byName_.emplace(name, index);
  return index;
}

NameIndex InternedNames::find(std::string const& name) const {
  auto const it = byName_.find(name);
  return it == byName_.end() ? none : it->second;
}

void InternedNames::release(NameIndex index) {
  CORKWARD_INVARIANT(index < names_.size() && byName_.erase(names_[index]) == 1);
  names_[index].clear();
  free_.push_back(index);
}

std::string const& InternedNames::name(NameIndex index) const {
  CORKWARD_INVARIANT(index < names_.size());
  return names_[index];
}

std::uint64_t RandomGenerator::next() {
  s_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t z = s_;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

std::uint64_t stableHash(std::string const& text) {
  std::uint64_t h = 1469598103934665603ULL;
  for (char const c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  h ^= h >> 32;
  return RandomGenerator(h).next();
}

void failInvariant(char const* condition, char const* file, int line) {
  throw InvariantError(std::string("broken invariant: ") + condition + " at " + file + ":" + std::to_string(line));
}

void Journal::append(Milliseconds at, std::string event, std::string subject) {
  ++counts_[event];
  entries_.push_back(JournalEntry{++lastNumber_, at, std::move(event), std::move(subject)});
  if (entries_.size() > maxEntries_) entries_.pop_front();
}

}  // namespace corkward::core
