#include <corkward/http/headers.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>

namespace corkward::http {

namespace {

constexpr std::array<char const*, 11> hopByHopHeaders{"connection",
                                                      "keep-alive",
                                                      "proxy-connection",
                                                      "proxy-authenticate",
                                                      "proxy-authorization",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade",
                                                      "content-length",
                                                      "expect"};

/// Returns all values of Connection, joined with commas and in lower case. They name further hop-by-hop header fields.
template <class Headers>
std::string connectionOptions(Headers const& headers) {
  std::string out;
  for (auto const& [name, value] : headers)
    if (toLower(name) == "connection") out += (out.empty() ? "" : ",") + toLower(value);
  return out;
}

template <class Headers>
HeaderList withoutHopByHop(Headers const& headers) {
  std::string const options = connectionOptions(headers);
  boost::beast::http::token_list named(options);
  HeaderList out;
  out.reserve(headers.size());
  for (auto const& [name, value] : headers) {
    std::string const lowerName = toLower(name);
    bool const hopByHop =
        std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), lowerName) != hopByHopHeaders.end() ||
        named.exists(lowerName);
    if (!hopByHop) out.emplace_back(name, value);
  }
  return out;
}

}  // namespace

std::string toLower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string headerValue(HeaderList const& headers, std::string const& name) {
  for (auto const& [headerName, value] : headers)
    if (headerName.size() == name.size() && toLower(headerName) == name) return value;
  return "";
}

std::string headerValue(HeaderMap const& headers, std::string const& name) {
  auto const found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

HeaderList endToEndHeaders(HeaderMap const& headers) {
  return withoutHopByHop(headers);
}

HeaderList endToEndHeaders(HeaderList const& headers) {
  return withoutHopByHop(headers);
}

}  // namespace corkward::http
