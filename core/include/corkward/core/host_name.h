#pragma once

#include <string>
#include <string_view>

namespace corkward::core {

/// Name of the host that a request is for. Different spellings of one name are the same HostName (RFC 3986, section
/// 3.2.2; RFC 9110, sections 4.2.3 and 7.2), so that names from requests and from configurations can be compared.
class HostName {
 public:
  /// The empty name, which is the name of no host.
  HostName() = default;
  /// @param spelling a host, with or without a port, as a Host header field or a configuration has it. The name is
  ///   empty if the spelling has only a port or a dot.
  explicit HostName(std::string_view spelling);

  bool empty() const { return text_.empty(); }
  /// Returns the name in its normal form.
  std::string const& text() const { return text_; }
  /// Whether the spelling is the normal form of its name.
  static bool isNormalForm(std::string_view spelling) { return HostName(spelling).text_ == spelling; }

  bool operator==(HostName const&) const = default;
  bool operator<(HostName const& other) const { return text_ < other.text_; }

 private:
  /// Invariant: the normal form, that is without a port, without the final dot of an absolute name, ASCII letters in
  /// lower case and, unless it is an IP literal in brackets, without a colon.
  std::string text_;
};

}  // namespace corkward::core
