#pragma once

#include <corkward/core/error.h>

namespace corkward::http {

/// An error of the HTTP layer's set-up: an address that is malformed or cannot be listened at.
class HttpError : public core::Error {
 public:
  using core::Error::Error;
};

}  // namespace corkward::http
