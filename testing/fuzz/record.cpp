#include "record.h"

namespace corkward::fuzz {

std::string pattern(std::string const& tag, std::size_t length) {
  std::string out;
  out.reserve(length + tag.size() + 24);
  for (std::size_t i = 0; out.size() < length; ++i) out += tag + "." + std::to_string(i) + ";";
  out.resize(length);
  return out;
}

std::string eventOf(std::string const& attempt, std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + attempt + "/" + std::to_string(number) + "\n\n";
}

std::string eventsOf(std::string const& attempt, std::size_t after, std::size_t last) {
  std::string out;
  for (std::size_t i = after + 1; i <= last; ++i) out += eventOf(attempt, i);
  return out;
}

}  // namespace corkward::fuzz
