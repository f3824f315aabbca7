#include <catch2/catch.hpp>

#include "consensus/src/acceptor.h"

using corkward::consensus::AcceptedPosition;
using corkward::consensus::Acceptor;
using corkward::consensus::Ballot;

TEST_CASE("an acceptor promises a higher ballot and rejects an equal or lower one") {
  Acceptor acceptor;
  CHECK(acceptor.promise(Ballot{2, "a"}));
  CHECK_FALSE(acceptor.promise(Ballot{2, "a"}));
  CHECK_FALSE(acceptor.promise(Ballot{1, "z"}));
  CHECK(acceptor.promise(Ballot{2, "b"}));
  CHECK(acceptor.promised() == Ballot{2, "b"});
  CHECK_FALSE(acceptor.hasAccepted());
}

TEST_CASE("accepting a value promises its ballot, and adopting a value from a snapshot does not") {
  Acceptor acceptor;
  acceptor.accept(AcceptedPosition{Ballot{3, "a"}, 7}, QJsonObject{{"x", 1}});
  CHECK(acceptor.promised() == Ballot{3, "a"});
  CHECK(acceptor.revision() == 7);
  acceptor.adoptAccepted(AcceptedPosition{Ballot{4, "b"}, 8}, QJsonObject{{"x", 2}});
  CHECK(acceptor.promised() == Ballot{3, "a"});
  CHECK(acceptor.revision() == 8);
  CHECK(acceptor.value() == QJsonObject{{"x", 2}});
}

TEST_CASE("accepted positions are ordered by ballot, then by revision") {
  CHECK(AcceptedPosition{Ballot{1, "a"}, 9} < AcceptedPosition{Ballot{2, "a"}, 1});
  CHECK(AcceptedPosition{Ballot{2, "a"}, 1} < AcceptedPosition{Ballot{2, "a"}, 2});
}
