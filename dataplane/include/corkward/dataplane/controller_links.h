#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/dataplane/router_tuning.h>

namespace corkward::dataplane {

/// The controllers that this router asks for its serving lease: those that answer, near ones first, the others in an
/// order by hash that differs between routers.
class ControllerLinks {
 public:
  /// A controller that is known, with its place among those that answer.
  struct Candidate {
    std::string link;
    bool sameZone = false;
    std::uint64_t hash = 0;
  };

  /// Chooses whom to ask from now on. One that did not answer in time is passed over for a while.
  void choose(Milliseconds now, std::vector<Candidate> const& known, RouterTuning const& tuning);
  std::vector<std::string> const& chosen() const { return chosen_; }
  /// The controller is asked now. True when the request must list this router's revisions.
  bool onRequest(Milliseconds now, std::string const& link);
  /// The controller granted a lease as one that has a quorum.
  void onUsefulReply(Milliseconds now, std::string const& link);
  /// The controller says whether it wants this router's revisions. True when it must be asked again with them now,
  /// since they were not sent within the interval (milliseconds).
  bool onRevisionsWanted(Milliseconds now, std::string const& link, bool wanted, Milliseconds interval);

  /// Forgets links that were neither used nor of use since that time.
  void forgetBefore(Milliseconds oldest);
  std::size_t size() const { return links_.size(); }

 private:
  struct Link {
    /// Newest request.
    Milliseconds requestedAt = 0;
    /// First request that has had no answer; below zero: none.
    Milliseconds firstUnansweredAt = -1;
    /// Newest answer that was of use; below zero: none.
    Milliseconds lastUsefulAt = -1;
    /// When it last did not answer in time; below zero: never.
    Milliseconds timedOutAt = -1;
    /// The next request lists the revisions.
    bool revisionsWanted = false;
    /// Newest request that listed them; below zero: none.
    Milliseconds revisionsSentAt = -1;
  };
  /// Order in which controllers are asked: those that timed out last, by when; then those of other zones.
  using Rank = std::tuple<Milliseconds, bool, std::uint64_t>;

  void noteTimeouts(Milliseconds now, Milliseconds patience);
  std::map<Rank, std::string> rank(Milliseconds now, std::vector<Candidate> const& known, Milliseconds timeout);

  std::map<std::string, Link> links_;
  /// Each has a link; in the order of their ranks.
  std::vector<std::string> chosen_;
};

}  // namespace corkward::dataplane
