#include <catch2/catch.hpp>

#include <corkward/dataplane/controller_links.h>

using corkward::dataplane::ControllerLinks;
using corkward::dataplane::RouterTuning;

namespace {

using Names = std::vector<std::string>;

std::vector<ControllerLinks::Candidate> const known{
    {"far", false, 1}, {"far-too", false, 2}, {"near", true, 9}, {"far-last", false, 7}, {"far-more", false, 8}};

}  // namespace

TEST_CASE("as long as none answers, as many controllers as allowed are asked, near ones first") {
  ControllerLinks links;
  links.choose(0, known, RouterTuning());
  CHECK(links.chosen() == Names{"near", "far", "far-too", "far-last"});
}

TEST_CASE("two controllers that answer are enough") {
  ControllerLinks links;
  links.choose(0, known, RouterTuning());
  links.onUsefulReply(10, "near");
  links.onUsefulReply(10, "far");
  links.choose(20, known, RouterTuning());
  CHECK(links.chosen() == Names{"near", "far"});
  links.choose(10 + 751, known, RouterTuning());
  CHECK(links.chosen().size() == 4);
}

TEST_CASE("a controller that does not answer in time is passed over until its timeout ends") {
  ControllerLinks links;
  RouterTuning const tuning;
  links.choose(0, known, tuning);
  links.onRequest(0, "near");
  links.choose(750, known, tuning);
  CHECK(links.chosen().front() == "near");
  links.choose(751, known, tuning);
  CHECK(links.chosen() == Names{"far", "far-too", "far-last", "far-more"});
  links.choose(751 + tuning.unresponsivePeerTimeout, known, tuning);
  CHECK(links.chosen().front() == "near");
}

TEST_CASE("a request lists the revisions once after they were wanted") {
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

TEST_CASE("links that are not used any more are forgotten") {
  ControllerLinks links;
  links.onRequest(10, "a");
  links.onRequest(10, "b");
  links.onUsefulReply(20, "b");
  links.forgetBefore(20);
  CHECK(links.size() == 1);
}
