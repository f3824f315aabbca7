#pragma once

#include <stdexcept>
#include <string>

namespace corkward::core {

/// Base class of all errors. Each package derives its own errors from it and converts errors of the packages it uses.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A violated invariant (CORKWARD_INVARIANT): a fault in the code.
class InvariantError : public Error {
 public:
  using Error::Error;
};

/// Something that the process needs is held by another process, such as an address to listen at or a locked directory.
/// The same attempt may succeed later.
class ResourceBusyError : public Error {
 public:
  using Error::Error;
};

/// A text is not valid JSON, or contains JSON that is not supported.
class JsonError : public Error {
 public:
  using Error::Error;
};

}  // namespace corkward::core
