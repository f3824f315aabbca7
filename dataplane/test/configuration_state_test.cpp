#include <catch2/catch.hpp>

#include <corkward/dataplane/configuration_state.h>

namespace transport = corkward::transport;
using corkward::dataplane::ConfigurationState;

namespace {

transport::CommittedEntry entryOf(std::string const& key, std::uint64_t revision) {
  return transport::CommittedEntry{key, revision, QJsonObject{{"revision", static_cast<qint64>(revision)}}};
}

ConfigurationState stateWith(transport::Revisions const& revisions) {
  ConfigurationState state;
  for (auto const& [key, revision] : revisions) state.set(entryOf(key, revision));
  state.recordDigest();
  return state;
}

}  // namespace

TEST_CASE("the newest entry of a key is in effect") {
  ConfigurationState state;
  CHECK(state.revisionOf("a") == 0);
  CHECK_FALSE(state.has("a"));
  CHECK_FALSE(state.entry("a"));
  state.set(entryOf("a", 3));
  state.set(entryOf("a", 5));
  CHECK(state.revisionOf("a") == 5);
  CHECK(state.value("a") == entryOf("a", 5).value);
  CHECK(state.entry("a")->revision == 5);
}

TEST_CASE("the digest is computed from the revisions in effect") {
  ConfigurationState const state = stateWith({{"a", 3}, {"b", 1}});
  CHECK(state.revisions() == transport::Revisions{{"a", 3}, {"b", 1}});
  CHECK(state.digest() == transport::digestOf(state.revisions()));
}

TEST_CASE("a configuration that was in effect earlier is covered by its digest alone") {
  ConfigurationState state = stateWith({{"a", 3}});
  transport::Digest const before = state.digest();
  state.set(entryOf("a", 4));
  CHECK(state.covers(before, {}));
  CHECK_FALSE(state.covers(state.digest(), {}));
  state.recordDigest();
  CHECK(state.covers(state.digest(), {}));
}

TEST_CASE("the digests of the last 64 updates are remembered") {
  ConfigurationState state = stateWith({{"a", 1}});
  transport::Digest const first = state.digest();
  for (std::uint64_t revision = 2; revision <= 64; ++revision) {
    state.set(entryOf("a", revision));
    state.recordDigest();
  }
  CHECK(state.covers(first, {}));
  state.set(entryOf("a", 65));
  state.recordDigest();
  CHECK_FALSE(state.covers(first, {}));
}

TEST_CASE("another configuration is covered by older revisions if these match its digest") {
  ConfigurationState const state = stateWith({{"a", 3}, {"b", 1}});
  transport::Revisions const older{{"a", 2}};
  transport::Revisions const newer{{"a", 4}};
  CHECK(state.covers(transport::digestOf(older), older));
  CHECK_FALSE(state.covers(transport::digestOf(newer), newer));
  CHECK_FALSE(state.covers(transport::digestOf(newer), older));
}

TEST_CASE("missingFrom returns entries that the other lacks or has in an older revision") {
  ConfigurationState const state = stateWith({{"a", 3}, {"b", 1}, {"c", 2}});
  std::vector<transport::CommittedEntry> const missing = state.missingFrom({{"a", 2}, {"b", 1}});
  REQUIRE(missing.size() == 2);
  CHECK(missing[0].key == "a");
  CHECK(missing[1].key == "c");
  CHECK(state.all().size() == 3);
}
