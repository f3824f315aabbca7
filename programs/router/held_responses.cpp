#include "held_responses.h"

#include <algorithm>

namespace corkward::programs {

namespace {

/// Part of the account that held responses may take.
constexpr std::uint64_t accountParts = 4;

}  // namespace

std::uint64_t HeldResponses::limit() const {
  return account_.limit() / accountParts;
}

void HeldResponses::update(std::uint64_t request, std::uint64_t bytes, core::Milliseconds now) {
  if (bytes <= shortBytes) {
    remove(request);
    return;
  }
  Held& held = held_.try_emplace(request, Held{0, now}).first->second;
  heldBytes_ = heldBytes_ - held.bytes + bytes;
  held.bytes = bytes;
}

void HeldResponses::remove(std::uint64_t request) {
  auto const found = held_.find(request);
  if (found == held_.end()) return;
  heldBytes_ -= found->second.bytes;
  held_.erase(found);
}

std::optional<std::uint64_t> HeldResponses::excess() const {
  if (held_.empty() || heldBytes_ <= limit()) return std::nullopt;
  auto const oldest = std::min_element(held_.begin(), held_.end(), [](auto const& left, auto const& right) {
    return left.second.since < right.second.since;
  });
  return oldest->first;
}

}  // namespace corkward::programs
