#include <corkward/lookout/lookout.h>

#include <algorithm>

namespace corkward::lookout {

namespace {

/// No incarnation of ours, a wall clock's milliseconds, comes near this; a greater one is not refuted but ignored.
constexpr std::uint64_t mostInc = std::uint64_t{1} << 52;

}  // namespace

Lookout::Lookout(signal::Contact self, std::vector<std::string> seeds, std::uint64_t seed)
    : self_(std::move(self)), seeds_(std::move(seeds)), rng_(seed) {}

void Lookout::merge(Tick now, signal::Contact const& contact) {
  if (contact.link.empty() || contact.age < 0 || contact.age > dropAfter || contact.inc > mostInc) return;
  if (contact.link == self_.link) {
    if (contact.inc > self_.inc) self_.inc = contact.inc + 1;
    return;
  }
  Seen& seen = view_[contact.link];
  Tick const at = now - contact.age;
  if (contact.inc < seen.contact.inc || (contact.inc == seen.contact.inc && at <= seen.at && seen.at != 0)) return;
  seen.contact = contact;
  seen.at = at;
  if (view_.size() <= viewBound) return;
  std::map<std::string, Seen>::iterator const oldest =
      std::min_element(view_.begin(), view_.end(), [](std::map<std::string, Seen>::value_type const& a, std::map<std::string, Seen>::value_type const& b) {
        return a.second.at < b.second.at;
      });
  view_.erase(oldest);
}

std::vector<signal::Contact> Lookout::sample(Tick now) {
  std::vector<signal::Contact> out;
  for (std::map<std::string, Seen>::value_type const& s : view_) {
    out.push_back(s.second.contact);
    out.back().age = now - s.second.at;
  }
  for (std::size_t i = out.size(); i > 1; --i) std::swap(out[i - 1], out[rng_.below(i)]);
  if (out.size() > sampleSize) out.resize(sampleSize);
  out.push_back(self_);
  return out;
}

std::vector<signal::Send> Lookout::arrived(Tick now, std::string const& from, signal::Shuffle const& shuffle) {
  for (signal::Contact const& c : shuffle.contacts) merge(now, c);
  std::vector<signal::Send> out;
  if (shuffle.reply) out.push_back(signal::Send{from, signal::Shuffle{sample(now), false}});
  return out;
}

std::vector<signal::Send> Lookout::heard(Tick now, signal::Contact const& contact) {
  std::map<std::string, Seen>::const_iterator const it = view_.find(contact.link);
  std::vector<signal::Send> out;
  if (it != view_.end() && it->second.contact.inc > contact.inc)
    out.push_back(signal::Send{contact.link, signal::Shuffle{{it->second.contact}, false}});
  else
    merge(now, contact);
  return out;
}

std::vector<signal::Send> Lookout::clockEvent(Tick now) {
  std::vector<signal::Send> out;
  if (now < shuffleAt_) return out;
  shuffleAt_ = now + (view_.size() < fewContacts ? shuffleAtFirst : shuffleEvery);
  for (std::map<std::string, Seen>::iterator it = view_.begin(); it != view_.end();)
    it = now - it->second.at > dropAfter ? view_.erase(it) : std::next(it);
  std::vector<std::string> targets;
  for (std::map<std::string, Seen>::value_type const& s : view_) targets.push_back(s.first);
  if (!targets.empty()) {
    std::string const to = targets[rng_.below(targets.size())];
    out.push_back(signal::Send{to, signal::Shuffle{sample(now), true}});
  }
  if (!seeds_.empty() && (targets.size() < 3 || rng_.chance(0.1))) {
    std::string const seed = seeds_[rng_.below(seeds_.size())];
    if (seed != self_.link) out.push_back(signal::Send{seed, signal::Shuffle{sample(now), true}});
  }
  return out;
}

std::vector<signal::Contact> Lookout::ofRole(std::string const& role, Tick now) const {
  std::vector<signal::Contact> out;
  for (std::map<std::string, Seen>::value_type const& s : view_) {
    if (s.second.contact.role != role) continue;
    out.push_back(s.second.contact);
    out.back().age = now - s.second.at;
  }
  return out;
}

Tick Lookout::age(std::string const& link, Tick now) const {
  std::map<std::string, Seen>::const_iterator const it = view_.find(link);
  return it == view_.end() ? -1 : now - it->second.at;
}

Standing Lookout::standing(std::string const& link, Tick now) const {
  Tick const a = age(link, now);
  if (a < 0) return Standing::unknown;
  return a > suspectAfter ? Standing::suspected : Standing::alive;
}

}  // namespace corkward::lookout
