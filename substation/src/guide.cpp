#include <corkward/substation/guide.h>

#include <set>

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
  if (signal::Shuffle const* const shuffle = std::get_if<signal::Shuffle>(&message); shuffle != nullptr) {
    lookout_.arrived(now, from, signal::Shuffle{shuffle->contacts, false, 0, {}});
    if (!shuffle->reply) return {};
    return {signal::Send{from, signal::Shuffle{lookout_.ofRole(substationRole, now), false, 0, {}}}};
  }
  signal::Beat const* const beat = std::get_if<signal::Beat>(&message);
  if (beat == nullptr || !beat->empty) return {};
  return {signal::Send{from, signal::NoDisk{}}};
}

std::vector<signal::Send> Guide::clockEvent(Tick now) {
  for (signal::Contact const& c : lookout_.ofRole(substationRole, now)) substations_.try_emplace(c.link, -1);
  if (now < askAt_) return {};
  askAt_ = now + askEvery;
  std::set<std::string> to(lookout_.seeds().begin(), lookout_.seeds().end());
  for (std::map<std::string, Tick>::value_type const& s : substations_) to.insert(s.first);
  to.erase(lookout_.self().link);
  std::vector<signal::Send> out;
  for (std::string const& link : to) out.push_back(signal::Send{link, signal::Shuffle{{}, true, 0, {}}});
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
