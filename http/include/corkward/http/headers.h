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
std::string lower(std::string text);

/// First value of the name, which is given in lower case; empty: none.
std::string field(HeaderList const& fields, std::string const& name);
std::string field(HeaderMap const& fields, std::string const& name);

/// Fields that go on to the next connection: all but those that concern one connection or the framing of one body.
HeaderList endToEnd(HeaderMap const& fields);
HeaderList endToEnd(HeaderList const& fields);

}  // namespace corkward::http
