#include <catch2/catch.hpp>

#include <corkward/dataplane/controller_links.h>

using corkward::dataplane::ControllerLinks;
using corkward::dataplane::RouterTuning;

namespace {

using Links = std::vector<std::string>;

std::vector<ControllerLinks::Candidate> const known{{"other-zone-1", false, 1},
                                                    {"other-zone-2", false, 2},
                                                    {"same-zone", true, 9},
                                                    {"other-zone-3", false, 7},
                                                    {"other-zone-4", false, 8}};

}  // namespace

TEST_CASE("without any reply, the most allowed controllers are chosen, those of the same zone first") {
  ControllerLinks links;
  links.choose(0, known, RouterTuning());
  CHECK(links.chosen() == Links{"same-zone", "other-zone-1", "other-zone-2", "other-zone-3"});
}

TEST_CASE("two responsive controllers are enough") {
  ControllerLinks links;
  links.choose(0, known, RouterTuning());
  links.onUsefulReply(10, "same-zone");
  links.onUsefulReply(10, "other-zone-1");
  links.choose(20, known, RouterTuning());
  CHECK(links.chosen() == Links{"same-zone", "other-zone-1"});
  links.choose(10 + 751, known, RouterTuning());
  CHECK(links.chosen().size() == 4);
}

TEST_CASE("a controller whose reply timed out is ranked last for the unresponsive timeout") {
  ControllerLinks links;
  RouterTuning const tuning;
  links.choose(0, known, tuning);
  links.onRequest(0, "same-zone");
  links.choose(750, known, tuning);
  CHECK(links.chosen().front() == "same-zone");
  links.choose(751, known, tuning);
  CHECK(links.chosen() == Links{"other-zone-1", "other-zone-2", "other-zone-3", "other-zone-4"});
  links.choose(751 + tuning.unresponsivePeerTimeout, known, tuning);
  CHECK(links.chosen().front() == "same-zone");
}

TEST_CASE("a request lists the revisions once after the controller wanted them") {
  ControllerLinks links;
  CHECK_FALSE(links.onRequest(0, "a"));
  CHECK(links.onRevisionsWanted(100, "a", true, 100));
  CHECK(links.onRequest(100, "a"));
  CHECK_FALSE(links.onRequest(110, "a"));
  CHECK_FALSE(links.onRevisionsWanted(199, "a", true, 100));
  CHECK(links.onRevisionsWanted(200, "a", true, 100));
  CHECK_FALSE(links.onRevisionsWanted(200, "a", false, 100));
  CHECK_FALSE(links.onRequest(210, "a"));
  CHECK_FALSE(links.onRevisionsWanted(300, "stranger", true, 100));
}

TEST_CASE("links without a recent request or useful reply are removed") {
  ControllerLinks links;
  links.onRequest(10, "a");
  links.onRequest(10, "b");
  links.onUsefulReply(20, "b");
  links.forgetBefore(20);
  CHECK(links.size() == 1);
}
