#include "tally.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>

namespace corkward::testing::capacity {

std::string purposeOf(transport::Message const& message) {
  std::string key;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { m.entries.front().key; })
          if (!m.entries.empty()) key = m.entries.front().key;
      },
      message);
  if (key == "roster") return "roster";
  if (key.rfind("pool:", 0) == 0) return "list";
  std::string const kind = transport::kindName(message);
  for (MessagePurpose const& r : messagePurposes)
    if (kind == r.kind) return r.purpose;
  return "other";
}

Tally& Tallies::of(transport::Message const& message) {
  std::string const purpose = purposeOf(message);
  std::string const kind = transport::kindName(message);
  auto const it =
      std::find_if(all_.begin(), all_.end(), [&](Tally const& t) { return t.kind == kind && t.purpose == purpose; });
  if (it != all_.end()) return *it;
  Tally t;
  t.purpose = purpose;
  t.kind = kind;
  all_.push_back(t);
  return all_.back();
}

double threadUs() {
  timespec ts{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * 1e6 + static_cast<double>(ts.tv_nsec) / 1e3;
}

std::uint64_t heapBytes() {
  struct mallinfo2 const m = ::mallinfo2();
  return m.uordblks + m.hblkhd;
}

}  // namespace corkward::testing::capacity
