#include <corkward/scaling/candidates.h>

#include <algorithm>
#include <utility>

namespace corkward::scaling {

Candidates::Candidates(std::vector<Candidate> all) {
  std::sort(all.begin(), all.end(), [](Candidate const& a, Candidate const& b) { return a.replica < b.replica; });
  all_ = std::make_shared<std::vector<Candidate> const>(std::move(all));
}

std::vector<Candidate> const& Candidates::all() const {
  static std::vector<Candidate> const none;
  return all_ ? *all_ : none;
}

Candidate const* Candidates::find(NameIndex replica) const {
  auto const it = std::lower_bound(all().begin(), all().end(), replica,
                                   [](Candidate const& c, NameIndex r) { return c.replica < r; });
  return it == all().end() || it->replica != replica ? nullptr : &*it;
}

}  // namespace corkward::scaling
