#pragma once

#include <stdexcept>
#include <string>

namespace corkward::core {

/// Root of all errors; each layer derives its own and turns those from below.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A broken invariant.
class InvariantError : public Error {
 public:
  using Error::Error;
};

/// Text that is not valid JSON, with the place.
class JsonError : public Error {
 public:
  using Error::Error;
};

}  // namespace corkward::core
