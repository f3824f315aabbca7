#include <catch2/catch.hpp>

#include <corkward/control/endpoint_lists.h>
#include <corkward/core/json.h>

namespace config = corkward::config;
namespace control = corkward::control;
namespace transport = corkward::transport;
using control::EndpointLists;

namespace {

config::EndpointList listOf(std::uint64_t generation, config::ReplicaState state = config::ReplicaState::serving) {
  config::EndpointList list;
  list.generation = generation;
  list.replicas = {config::Replica{"r1", "10.0.0.1:80", "z1", state}};
  return list;
}

control::CommittedValues committed(std::uint64_t generation) {
  return {{"pool:model", {"pool:model", 3, config::endpointListJson(listOf(generation))}},
          {"roster", {"roster", 1, {}}}};
}

}  // namespace

TEST_CASE("a hint is accepted only if it is newer than the committed list and the previous hint") {
  EndpointLists lists;
  transport::EndpointRemovalHint hint{"model", 5, {}, {}};
  CHECK_FALSE(lists.addHint(hint, {}));
  CHECK_FALSE(lists.addHint(hint, committed(5)));
  CHECK(lists.addHint(hint, committed(4)));
  CHECK_FALSE(lists.addHint(hint, committed(4)));
  hint.generation = 6;
  CHECK(lists.addHint(hint, committed(4)));
  CHECK(lists.nextGeneration("model", committed(4)) == 7);
  lists.dropCommittedHints(committed(5));
  CHECK(lists.hints().size() == 1);
  lists.dropCommittedHints(committed(6));
  CHECK(lists.hints().empty());
}

TEST_CASE("a list with the content of the committed one ends its hint, whatever its generation") {
  EndpointLists lists;
  lists.addHint({"model", 9, {}, {}}, committed(4));
  CHECK_FALSE(lists.isCommitted("model", listOf(0, config::ReplicaState::warmingUp), committed(4)));
  CHECK(lists.hints().size() == 1);
  CHECK(lists.isCommitted("model", listOf(0), committed(4)));
  CHECK(lists.hints().empty());
  CHECK_FALSE(lists.isCommitted("other", listOf(0), committed(4)));
}

TEST_CASE("a pool that the platform no longer names gets an empty list") {
  std::map<std::string, config::EndpointList> const lists =
      EndpointLists::withVanishedPools({{"new", listOf(0)}}, committed(4));
  REQUIRE(lists.size() == 2);
  CHECK(lists.at("model").replicas.empty());
  CHECK(lists.at("new").replicas.size() == 1);
}

TEST_CASE("a removal hint names serving and warming-up replicas by their incarnations") {
  config::EndpointList list = listOf(7);
  list.replicas.push_back(config::Replica{"r2", "10.0.0.2:80", "z1", config::ReplicaState::warmingUp});
  list.replicas.push_back(config::Replica{"r3", "10.0.0.3:80", "z1", config::ReplicaState::draining});
  transport::EndpointRemovalHint const hint = control::removalHintOf("model", list);
  CHECK(hint.generation == 7);
  CHECK(hint.serving == std::vector<std::string>{"10.0.0.1:80|r1"});
  CHECK(hint.cold == std::vector<std::string>{"10.0.0.2:80|r2"});
}

TEST_CASE("the proposal of a list names the revision that was committed when the list was read") {
  transport::OperatorCall const call = control::endpointListProposal("a/b", listOf(7), 3);
  CHECK(call.method == "PUT");
  CHECK(call.path == "/v1/platform/pools/a%2Fb");
  CHECK(call.ifMatch == "3");
  EndpointLists lists;
  CHECK_FALSE(lists.proposalOf("a/b"));
  lists.setProposal("a/b", 11);
  CHECK(lists.proposalOf("a/b") == 11);
}
