#pragma once

#include <map>
#include <string>

#include <corkward/dataplane/response_stream.h>

namespace corkward::http {

/// Header fields of a request, names in lower case; values of a name that came more than once are joined with commas.
using HeaderMap = std::map<std::string, std::string>;

/// Header fields in their order; a name may come more than once.
using HeaderList = dataplane::HeaderList;

/// Text in lower case, as header names compare.
std::string toLower(std::string text);

/// First value of a name, which is given in lower case; empty: none.
std::string headerValue(HeaderList const& headers, std::string const& name);
std::string headerValue(HeaderMap const& headers, std::string const& name);

/// End-to-end headers (RFC 9110, section 7.6.1): all but those that concern one connection or the framing of one body.
HeaderList endToEndHeaders(HeaderMap const& headers);
HeaderList endToEndHeaders(HeaderList const& headers);

}  // namespace corkward::http
