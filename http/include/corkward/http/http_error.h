#pragma once

#include <corkward/core/error.h>

namespace corkward::http {

/// An address is malformed, or the server cannot listen at it.
class HttpError : public core::Error {
 public:
  using core::Error::Error;
};

}  // namespace corkward::http
