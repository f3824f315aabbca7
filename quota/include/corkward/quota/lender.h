#pragma once

/// One controller's part in lending tenants' limits: it grants terms, seeks them for parts that nobody lends, and lends
/// what it holds a term for. A reducer beside the controller's own.

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <corkward/quota/ledger.h>
#include <corkward/quota/terms.h>

namespace corkward::quota {

/// Command: send a message to the process that listens at the link address.
struct Send {
  std::string to;
  std::variant<TermAsk, TermGrant, ClaimAsk, Loans> message;
};

/// What the controller knows of itself, the members and the routers.
struct Standing {
  /// Votes, and has for longer than a term: see TermGrants.
  bool mayGrant = false;
  bool mayRenew = false;
  /// Links of all members, this one included, and of those that were heard of late.
  std::vector<std::string> members;
  std::vector<std::string> alive;
  /// Routers of the roster that is committed here, and of those before that may still serve.
  std::set<std::string> routers;
  /// When the newest contact with a majority of the members began; below 0: there is none.
  Tick contact = -1;
  /// The process is to end: it seeks no term and gives up those it has.
  bool leaving = false;
};

class Lender {
 public:
  Lender(std::string link, std::uint64_t life, Slack const& slack);

  /// The limits of the configuration in place, by tenant; those without a limit are left out.
  void configure(Tick now, std::map<std::string, Limit> limits);
  std::vector<Send> clockEvent(Tick now, Standing const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, Report const& message, Standing const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, TermAsk const& message, Standing const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, TermGrant const& message, Standing const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, Claims const& message, Standing const& standing);

  /// Holds a term of that part.
  bool lends(Tick now, std::uint64_t part, Standing const& standing) const;
  /// Parts that are lent from here.
  std::size_t lent(Tick now, Standing const& standing) const;

 private:
  /// A part that this controller lends.
  struct Office {
    std::uint64_t epoch = 0;
    Tick since = 0;
    /// Loans of earlier lenders have run out by then.
    Tick unknownUntil = 0;
    /// Routers were asked for their loans, all of the roster of that time.
    bool asked = false;
    /// Those that have not answered yet.
    std::set<std::string> unheard;
    std::map<std::string, Ledger> ledgers;
  };
  std::string holderOf(Tick now, std::uint64_t part, Standing const& standing) const;
  bool firstFor(std::uint64_t part, std::vector<std::string> const& alive) const;
  void considerSeeking(Tick now, Standing const& standing);
  void keepOffices(Tick now, Standing const& standing);
  void askTerms(std::vector<Send>& out, Tick now, Standing const& standing);
  void askClaims(std::vector<Send>& out, Tick now, Standing const& standing);
  void release(std::vector<Send>& out, Tick now, Standing const& standing);
  TermAsk termAsk(Tick now) const;
  Ledger& ledgerOf(Tick now, Office& office, std::string const& tenant);

  std::string link_;
  std::uint64_t life_;
  Slack slack_;
  std::map<std::string, Limit> limits_;
  TermGrants grants_;
  Terms terms_;
  std::map<std::uint64_t, Office> offices_;
  /// Who was said to lend a part, and until when that is believed.
  std::map<std::uint64_t, std::pair<std::string, Tick>> told_;
  /// Parts that are not sought again before then.
  std::map<std::uint64_t, Tick> restUntil_;
  Tick askAt_ = 0;
  Tick claimAt_ = 0;
};

}  // namespace corkward::quota
