#pragma once

/// Messages between the routers, which spend tenants' limits, and the controllers, one of which lends each part of them
/// out; and between the controllers, which agree on who lends.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::quota {

/// Tenants are spread over so many parts; each part has a lender of its own.
inline constexpr std::uint64_t partitionCount = 16;
/// Units of a fraction or share on the wire that stand for the whole.
inline constexpr std::uint64_t fractionUnits = 1000000000;

/// The part that a tenant belongs to.
inline std::uint64_t partitionOf(std::string const& tenant) {
  return core::stableHash(tenant) % partitionCount;
}

/// Order in which controllers come into question as lenders of a part: the lowest first.
inline std::uint64_t rankOf(std::uint64_t part, std::string const& controller) {
  return core::stableHash("quota " + std::to_string(part) + "|" + controller);
}

/// One tenant at one router: what it asks for, and which loan it holds.
struct TenantUsage {
  std::string tenant;
  /// What its requests came to in a second, of late.
  std::uint64_t demand = 0;
  /// Amount that a request waits for; the lender gives all of it or nothing.
  std::uint64_t wanted = 0;
  /// Amount that this router has left.
  std::uint64_t remaining = 0;
  /// Amount that it gives back to the lender.
  std::uint64_t returned = 0;
  /// The loan that it holds, as parts of `whole`, whose it is, and for how many milliseconds on; 0: none.
  std::uint64_t fraction = 0;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  std::uint64_t remainingMs = 0;
  /// A loan is wanted anew; else only the amount is.
  bool wantsRenewal = false;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("x", wantsRenewal);
    f("d", demand);
    f("w", wanted);
    f("a", remaining);
    f("b", returned);
    f("f", fraction);
    f("e", epoch);
    f("n", number);
    f("r", remainingMs);
  }
};

/// A router reports to the coordinator of its tenants' partition; expects QuotaGrants.
struct UsageReport {
  std::string link;
  /// Number of the sender's life.
  std::uint64_t incarnation = 0;
  /// Names the report in its answer.
  std::uint64_t number = 0;
  std::vector<TenantUsage> uses;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("i", incarnation);
    f("n", number);
    f("u", uses);
  }
};

/// What a lender gives one router of one tenant's limit.
struct QuotaGrant {
  std::string tenant;
  std::uint64_t epoch = 0;
  /// Rises with each loan of this lender; 0: the router's loan stays as it is, and only the amount counts.
  std::uint64_t number = 0;
  /// Fraction of the limit, in parts of `whole`, that the router may spend from here on.
  std::uint64_t fraction = 0;
  /// Amount to be spent at once, in answer to what was wanted.
  std::uint64_t amount = 0;
  /// Which share of the tenant's requests routers may try to admit, in parts of `whole`.
  std::uint64_t admissionShare = 0;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("e", epoch);
    f("n", number);
    f("f", fraction);
    f("a", amount);
    f("s", admissionShare);
  }
};

/// Who lends a part, as far as the sender knows; empty: nobody.
struct PartitionOwner {
  std::uint64_t partition = 0;
  std::string coordinator;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("l", coordinator);
  }
};

/// Answer to a Report: loans of the parts that the sender lends, and whom to ask for the others.
struct QuotaGrants {
  std::uint64_t reportNumber = 0;
  std::vector<QuotaGrant> grants;
  std::vector<PartitionOwner> partitionOwners;
  template <class F>
  void each(F& f) {
    f("n", reportNumber);
    f("l", grants);
    f("e", partitionOwners);
  }
};

/// A part under a term of office.
struct PartitionEpoch {
  std::uint64_t partition = 0;
  std::uint64_t epoch = 0;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("e", epoch);
  }
};

/// A new lender asks a router which loans of its parts it holds; answers to reports from before count no more there.
struct AllocationQuery {
  std::vector<PartitionEpoch> terms;
  template <class F>
  void each(F& f) {
    f("p", terms);
  }
};

/// Reply to an AllocationQuery: all allocations that this router holds of these partitions.
struct AllocationReport {
  std::string link;
  std::uint64_t incarnation = 0;
  std::vector<PartitionEpoch> terms;
  std::vector<TenantUsage> uses;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("i", incarnation);
    f("p", terms);
    f("u", uses);
  }
};

/// A controller asks each member for a term as lender, or to prolong the one it has.
struct PartitionLeaseRequest {
  core::Tick sentAt = 0;
  std::string link;
  std::uint64_t incarnation = 0;
  /// It lends no more under these terms.
  bool release = false;
  std::vector<PartitionEpoch> terms;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("l", link);
    f("i", incarnation);
    f("r", release);
    f("p", terms);
  }
};

/// A member's word on one part: granted, or to whom and under which epoch it was granted before.
struct PartitionLeaseDecision {
  std::uint64_t partition = 0;
  std::uint64_t epoch = 0;
  bool granted = false;
  std::string holder;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("e", epoch);
    f("g", granted);
    f("h", holder);
  }
};

/// One member's reply to a PartitionLeaseRequest.
struct PartitionLeaseReply {
  core::Tick requestSentAt = 0;
  std::vector<PartitionLeaseDecision> decisions;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("p", decisions);
  }
};

}  // namespace corkward::quota
