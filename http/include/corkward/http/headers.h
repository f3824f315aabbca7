#pragma once

#include <map>
#include <string>

#include <corkward/dataplane/response_stream.h>

namespace corkward::http {

/// Header fields of a request by name in lower case. The values of a repeated field are joined with commas, those of
/// Cookie with semicolons.
using HeaderMap = std::map<std::string, std::string>;

/// Header fields in the order of the message; a name may occur more than once.
using HeaderList = dataplane::HeaderList;

/// Returns the text in lower case. Header names are compared in lower case because they are case-insensitive.
std::string toLower(std::string text);

/// Returns the first value of the header field with this name, or an empty text if there is none.
/// @param name in lower case
std::string headerValue(HeaderList const& headers, std::string const& name);
std::string headerValue(HeaderMap const& headers, std::string const& name);

/// Returns the end-to-end header fields (RFC 9110, section 7.6.1): all but the hop-by-hop fields and those that
/// describe the framing of the body.
HeaderList endToEndHeaders(HeaderMap const& headers);
HeaderList endToEndHeaders(HeaderList const& headers);

}  // namespace corkward::http
