#pragma once

#include <map>
#include <string>

#include <corkward/dataplane/stream.h>

namespace corkward::http {

/// Header fields of a request, names in lower case; values of a name that came more than once are joined with commas.
using Fields = std::map<std::string, std::string>;

/// Header fields in their order; a name may come more than once.
using FieldList = dataplane::Fields;

/// Text in lower case, as header names compare.
std::string lower(std::string text);

/// First value of the name, which is given in lower case; empty: none.
std::string field(FieldList const& fields, std::string const& name);
std::string field(Fields const& fields, std::string const& name);

/// Fields that go on to the next connection: all but those that concern one connection or the framing of one body.
FieldList endToEnd(Fields const& fields);
FieldList endToEnd(FieldList const& fields);

}  // namespace corkward::http
