// How a listening socket goes on after an attempt to accept has failed.
#include <catch2/catch.hpp>

#include <cerrno>

#include <corkward/transport/acceptor.h>

using corkward::transport::AcceptOutcome;
using corkward::transport::acceptOutcomeOf;

TEST_CASE("a connection that ended in the listen queue does not hold up the next one") {
  for (int const error : {ECONNABORTED, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH, EINTR})
    CHECK(acceptOutcomeOf(error) == AcceptOutcome::connectionFailed);
  CHECK(acceptOutcomeOf(EAGAIN) == AcceptOutcome::nonePending);
}

/// Guards against a listener that takes a lack of descriptors or memory for an empty queue, or for a failed connection.
TEST_CASE("a lack of descriptors or memory, and an unknown error, let a listener wait") {
  for (int const error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EINVAL, EBADF, 12345})
    CHECK(acceptOutcomeOf(error) == AcceptOutcome::noRoom);
}
