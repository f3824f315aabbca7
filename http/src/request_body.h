#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace corkward::http {

/// Body of a request in Beast's terms: a text that grows with the bytes that arrive. Unlike Beast's own string body it
/// allocates nothing for a length that is only announced; the owner reserves memory when it may be used.
struct RequestBody {
  using value_type = std::string;

  /// Beast looks for a type of this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(boost::optional<std::uint64_t> const&, boost::beast::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(Buffers const& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (boost::asio::const_buffer const buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<char const*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }
    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace corkward::http
