#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <corkward/transport/message.h>

namespace corkward::testing::capacity {

/// The purpose for which a kind of message is counted.
struct MessagePurpose {
  char const* kind;
  char const* purpose;
};

/// Kinds that are not in this table count as "other". Messages with configuration entries count by the key of the first
/// entry (see purposeOf).
inline constexpr MessagePurpose messagePurposes[] = {{"ask", "confirmations"}, {"confirm", "confirmations"},
                                                     {"touch", "contacts"},    {"shuffle", "shuffles"},
                                                     {"hint", "list"},         {"news", "news"},
                                                     {"news-ack", "news"},     {"fetch", "news"},
                                                     {"prepare", "agreement"}, {"promise", "agreement"},
                                                     {"accept", "agreement"},  {"accepted", "agreement"},
                                                     {"commit", "agreement"},  {"handover", "agreement"},
                                                     {"found", "agreement"},   {"beat", "beats"},
                                                     {"beat-echo", "beats"},   {"copy", "copy"},
                                                     {"call", "operators"},    {"outcome", "operators"},
                                                     {"holding", "holdings"},  {"seen-ask", "ids"},
                                                     {"seen-echo", "ids"},     {"seen-left", "ids"},
                                                     {"warm-ask", "warming"},  {"warm-grant", "warming"}};

/// Returns the purpose for which a message is counted.
std::string purposeOf(transport::Message const& message);

/// Counts of one kind of message for one purpose, over all processes of a role. Times are processor time in
/// microseconds.
struct Tally {
  std::string purpose;
  std::string kind;
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  double packUs = 0;
  double unpackUs = 0;
  double handleUs = 0;
};

/// All tallies of one role.
class Tallies {
 public:
  Tally& of(transport::Message const& message);
  std::vector<Tally> const& all() const { return all_; }
  void clear() { all_.clear(); }

 private:
  std::vector<Tally> all_;
};

/// Returns the processor time of this thread so far, in microseconds.
double threadUs();
/// Returns the heap bytes that the process currently has allocated.
std::uint64_t heapBytes();

}  // namespace corkward::testing::capacity
