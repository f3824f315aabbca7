#include <corkward/control/controller_directory.h>

#include <set>

namespace corkward::control {

namespace {

constexpr Tick askEvery = 500;
/// A controller that was heard within this time counts as one that answers.
constexpr Tick lately = 1600;

}  // namespace

ControllerDirectory::ControllerDirectory(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed)
    : partialView_(std::move(self), std::move(seeds), seed) {}

std::vector<transport::Send> ControllerDirectory::arrived(Tick now, std::string const& from,
                                                          transport::Message const& message) {
  std::map<std::string, Tick>::iterator const known = controllers_.find(from);
  if (known != controllers_.end()) known->second = now;
  if (transport::GossipShuffle const* const shuffle = std::get_if<transport::GossipShuffle>(&message);
      shuffle != nullptr) {
    partialView_.arrived(now, from, transport::GossipShuffle{shuffle->contacts, false, 0, {}});
    if (!shuffle->reply) return {};
    return {transport::Send{
        from, transport::GossipShuffle{partialView_.ofRole(transport::controllerRole, now), false, 0, {}}}};
  }
  transport::Heartbeat const* const heartbeat = std::get_if<transport::Heartbeat>(&message);
  if (heartbeat == nullptr || !heartbeat->hasNoState) return {};
  return {transport::Send{from, transport::NotAVotingMember{}}};
}

std::vector<transport::Send> ControllerDirectory::clockEvent(Tick now) {
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now))
    controllers_.try_emplace(c.link, -1);
  if (now < askAt_) return {};
  askAt_ = now + askEvery;
  std::set<std::string> to(partialView_.seeds().begin(), partialView_.seeds().end());
  for (std::map<std::string, Tick>::value_type const& s : controllers_) to.insert(s.first);
  to.erase(partialView_.self().link);
  std::vector<transport::Send> out;
  for (std::string const& link : to) out.push_back(transport::Send{link, transport::GossipShuffle{{}, true, 0, {}}});
  return out;
}

std::vector<std::string> ControllerDirectory::controllers(Tick now) const {
  std::vector<std::string> all;
  std::vector<std::string> answering;
  for (std::map<std::string, Tick>::value_type const& s : controllers_) {
    all.push_back(s.first);
    if (s.second >= 0 && now - s.second <= lately) answering.push_back(s.first);
  }
  return answering.empty() ? all : answering;
}

}  // namespace corkward::control
