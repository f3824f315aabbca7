#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <corkward/transport/message.h>

namespace corkward::testing::capacity {

/// What a kind of message is for.
struct MessagePurpose {
  char const* kind;
  char const* purpose;
};

/// Kinds that are not named here, newer ones too, count under "other". News count by the key that they carry.
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

/// Duty of one message.
std::string purposeOf(transport::Message const& message);

/// What all processes of one role did with one kind of message for one duty. Microseconds are of processor time.
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

/// Tallies of one role.
class Tallies {
 public:
  Tally& of(transport::Message const& message);
  std::vector<Tally> const& all() const { return all_; }
  void clear() { all_.clear(); }

 private:
  std::vector<Tally> all_;
};

/// Processor time of this thread so far, microseconds.
double threadUs();
/// Bytes that the process holds of the heap now.
std::uint64_t heapBytes();

}  // namespace corkward::testing::capacity
