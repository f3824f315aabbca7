#include <corkward/core/host_name.h>

#include <algorithm>

namespace corkward::core {

namespace {

/// Returns the part of the spelling before the port. The colons of an IP literal stand in brackets (RFC 3986, section
/// 3.2.2) and begin no port.
std::string_view withoutPort(std::string_view spelling) {
  std::size_t const bracket = spelling.starts_with('[') ? spelling.find(']') : std::string_view::npos;
  std::size_t const searchFrom = bracket == std::string_view::npos ? 0 : bracket;
  return spelling.substr(0, spelling.find(':', searchFrom));
}

/// Returns the name without the final dot, by which a name is marked as absolute (RFC 1034, section 3.1).
std::string_view withoutFinalDot(std::string_view name) {
  if (name.ends_with('.')) name.remove_suffix(1);
  return name;
}

char lowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

HostName::HostName(std::string_view spelling) : text_(withoutFinalDot(withoutPort(spelling))) {
  std::transform(text_.begin(), text_.end(), text_.begin(), lowerCase);
}

}  // namespace corkward::core
