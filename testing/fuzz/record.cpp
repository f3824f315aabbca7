#include "record.h"

#include <array>

namespace corkward::fuzz {

std::string pattern(std::string const& tag, std::size_t length) {
  std::string out;
  out.reserve(length + tag.size() + 24);
  for (std::size_t i = 0; out.size() < length; ++i) out += tag + "." + std::to_string(i) + ";";
  out.resize(length);
  return out;
}

std::string eventOf(std::string const& attempt, std::size_t number, EventFormat const& format) {
  static constexpr std::array<char const*, 3> lineEnds{"\n", "\r\n", "\r"};
  std::string const eol = lineEnds[static_cast<std::size_t>(format.lineEnd)];
  std::string const id = format.numbered ? "id: " + std::to_string(number) + eol : "";
  return id + "data: " + attempt + "/" + std::to_string(number) + eol + eol;
}

std::string eventsOf(std::string const& attempt, std::size_t after, std::size_t last, EventFormat const& format) {
  std::string out;
  for (std::size_t i = after + 1; i <= last; ++i) out += eventOf(attempt, i, format);
  return out;
}

}  // namespace corkward::fuzz
