#include <corkward/substation/guide.h>

namespace corkward::substation {

namespace {

constexpr char const* substationRole = "substation";
constexpr Tick askEvery = 500;
/// A substation that was heard within this time counts as one that answers.
constexpr Tick lately = 1600;

}  // namespace

Guide::Guide(signal::Contact self, std::vector<std::string> seeds, std::uint64_t seed) : lookout_(std::move(self), std::move(seeds), seed) {}

std::vector<signal::Send> Guide::arrived(Tick now, std::string const& from, signal::Message const& message) {
  std::map<std::string, Tick>::iterator const known = substations_.find(from);
  if (known != substations_.end()) known->second = now;
  if (signal::Shuffle const* const shuffle = std::get_if<signal::Shuffle>(&message); shuffle != nullptr) return lookout_.arrived(now, from, *shuffle);
  signal::Beat const* const beat = std::get_if<signal::Beat>(&message);
  if (beat == nullptr || !beat->empty) return {};
  return {signal::Send{from, signal::NoDisk{}}};
}

std::vector<signal::Send> Guide::clockEvent(Tick now) {
  std::vector<signal::Send> out = lookout_.clockEvent(now);
  for (signal::Contact const& c : lookout_.ofRole(substationRole, now)) substations_.try_emplace(c.link, -1);
  if (now < askAt_) return out;
  askAt_ = now + askEvery;
  for (std::map<std::string, Tick>::value_type const& s : substations_)
    out.push_back(signal::Send{s.first, signal::Shuffle{{lookout_.self()}, true}});
  return out;
}

std::vector<std::string> Guide::substations(Tick now) const {
  std::vector<std::string> all;
  std::vector<std::string> answering;
  for (std::map<std::string, Tick>::value_type const& s : substations_) {
    all.push_back(s.first);
    if (s.second >= 0 && now - s.second <= lately) answering.push_back(s.first);
  }
  return answering.empty() ? all : answering;
}

}  // namespace corkward::substation
