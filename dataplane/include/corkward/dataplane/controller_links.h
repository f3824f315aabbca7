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

/// Chooses the controllers that this router requests its serving lease from. Responsive controllers come first, among
/// them those of the router's own zone. The rest of the order is by a hash that differs between routers, so that
/// routers spread over the controllers.
class ControllerLinks {
 public:
  /// A known controller and what ranks it among the responsive ones.
  struct Candidate {
    std::string link;
    bool sameZone = false;
    std::uint64_t hash = 0;
  };

  /// Chooses the controllers for the following requests. A controller whose reply timed out is ranked last for
  /// RouterTuning::unresponsivePeerTimeout.
  void choose(Milliseconds now, std::vector<Candidate> const& known, RouterTuning const& tuning);
  std::vector<std::string> const& chosen() const { return chosen_; }
  /// Records that a request is sent to the controller. Returns true if the request must list this router's revisions.
  bool onRequest(Milliseconds now, std::string const& link);
  /// Records that the controller replied and had a quorum.
  void onUsefulReply(Milliseconds now, std::string const& link);
  /// Records whether the controller wants this router's revisions. Returns true if a request with the revisions must be
  /// sent at once, because they are wanted and were not sent within the last `interval` milliseconds.
  bool onRevisionsWanted(Milliseconds now, std::string const& link, bool wanted, Milliseconds interval);

  /// Removes links without a request or a useful reply since `oldest`.
  void forgetBefore(Milliseconds oldest);
  std::size_t size() const { return links_.size(); }

 private:
  struct Link {
    /// When the newest request was sent.
    Milliseconds requestedAt = 0;
    /// When the first unanswered request was sent. Negative if there is none.
    Milliseconds firstUnansweredAt = -1;
    /// When the newest reply with a quorum arrived. Negative if there is none.
    Milliseconds lastUsefulAt = -1;
    /// When the controller's reply last timed out. Negative if it never did.
    Milliseconds timedOutAt = -1;
    /// The next request must list this router's revisions.
    bool revisionsWanted = false;
    /// When the newest request with revisions was sent. Negative if there is none.
    Milliseconds revisionsSentAt = -1;
  };
  /// Sort key of controllers, lowest first: time of the last timeout (0 if responsive), whether the zone is another
  /// one, hash.
  using Rank = std::tuple<Milliseconds, bool, std::uint64_t>;

  void detectTimeouts(Milliseconds now, Milliseconds replyTimeout);
  std::map<Rank, std::string> rank(Milliseconds now, std::vector<Candidate> const& known,
                                   Milliseconds unresponsiveTimeout);

  std::map<std::string, Link> links_;
  /// Link addresses of the chosen controllers, in rank order. Each is a key of links_.
  std::vector<std::string> chosen_;
};

}  // namespace corkward::dataplane
