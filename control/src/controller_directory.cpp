#include <corkward/control/controller_directory.h>

#include <set>

namespace corkward::control {

namespace {

constexpr Milliseconds queryEvery = 500;
/// A controller whose last message is no older than this counts as responding.
constexpr Milliseconds contactTimeout = 1600;

}  // namespace

ControllerDirectory::ControllerDirectory(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed)
    : partialView_(std::move(self), std::move(seeds), seed) {}

std::vector<transport::Send> ControllerDirectory::onMessage(Milliseconds now, std::string const& from,
                                                            transport::Message const& message) {
  auto const known = lastContactAt_.find(from);
  if (known != lastContactAt_.end()) known->second = now;
  if (auto const* const shuffle = std::get_if<transport::GossipShuffle>(&message); shuffle != nullptr) {
    partialView_.onShuffle(now, from, transport::GossipShuffle{shuffle->contacts, false, 0, {}});
    if (!shuffle->reply) return {};
    std::vector<transport::Contact> controllers = partialView_.ofRole(transport::controllerRole, now);
    return {transport::Send{from, transport::GossipShuffle{std::move(controllers), false, 0, {}}}};
  }
  auto const* const heartbeat = std::get_if<transport::Heartbeat>(&message);
  if (heartbeat == nullptr || !heartbeat->hasNoState) return {};
  return {transport::Send{from, transport::NotAVotingMember{}}};
}

std::vector<transport::Send> ControllerDirectory::onTimer(Milliseconds now) {
  for (transport::Contact const& contact : partialView_.ofRole(transport::controllerRole, now))
    lastContactAt_.try_emplace(contact.link, -1);
  if (now < nextQueryAt_) return {};
  nextQueryAt_ = now + queryEvery;
  std::set<std::string> links(partialView_.seeds().begin(), partialView_.seeds().end());
  for (auto const& [link, contactAt] : lastContactAt_) links.insert(link);
  links.erase(partialView_.self().link);
  std::vector<transport::Send> sends;
  sends.reserve(links.size());
  for (std::string const& link : links)
    sends.push_back(transport::Send{link, transport::GossipShuffle{{}, true, 0, {}}});
  return sends;
}

std::vector<std::string> ControllerDirectory::controllers(Milliseconds now) const {
  std::vector<std::string> known;
  std::vector<std::string> responding;
  for (auto const& [link, contactAt] : lastContactAt_) {
    known.push_back(link);
    if (contactAt >= 0 && now - contactAt <= contactTimeout) responding.push_back(link);
  }
  return responding.empty() ? known : responding;
}

}  // namespace corkward::control
