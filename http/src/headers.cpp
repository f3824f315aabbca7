#include <corkward/http/headers.h>

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>

namespace corkward::http {

namespace {

constexpr std::array<char const*, 11> ofOneConnection{"connection",
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

template <class List>
HeaderList passedOn(List const& fields) {
  std::string named;
  for (typename List::value_type const& f : fields)
    if (lower(f.first) == "connection") named += (named.empty() ? "" : ",") + lower(f.second);
  boost::beast::http::token_list also(named);
  HeaderList out;
  out.reserve(fields.size());
  for (typename List::value_type const& f : fields) {
    std::string const name = lower(f.first);
    bool own = also.exists(name);
    for (char const* const n : ofOneConnection) own = own || name == n;
    if (!own) out.emplace_back(f.first, f.second);
  }
  return out;
}

}  // namespace

std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string field(HeaderList const& fields, std::string const& name) {
  for (HeaderList::value_type const& f : fields)
    if (f.first.size() == name.size() && lower(f.first) == name) return f.second;
  return "";
}

std::string field(HeaderMap const& fields, std::string const& name) {
  HeaderMap::const_iterator const it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

HeaderList endToEnd(HeaderMap const& fields) {
  return passedOn(fields);
}
HeaderList endToEnd(HeaderList const& fields) {
  return passedOn(fields);
}

}  // namespace corkward::http
