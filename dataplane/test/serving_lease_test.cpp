#include <catch2/catch.hpp>

#include <corkward/dataplane/serving_lease.h>

namespace transport = corkward::transport;
using corkward::dataplane::ConfigurationState;
using corkward::dataplane::Roster;
using corkward::dataplane::ServingLease;

namespace {

Roster rosterOf(std::vector<std::string> const& links) {
  std::vector<transport::Contact> contacts;
  contacts.reserve(links.size());
  for (std::string const& link : links) {
    transport::Contact contact;
    contact.link = link;
    contacts.push_back(contact);
  }
  Roster roster("a");
  roster.load(0, 1, contacts, true);
  return roster;
}

ConfigurationState configurationAt(std::uint64_t revision) {
  ConfigurationState configuration;
  configuration.set(transport::CommittedEntry{"key", revision, {}});
  configuration.recordDigest();
  return configuration;
}

transport::PeerHeartbeat replyWith(corkward::core::Milliseconds sentAt, ConfigurationState const& configuration) {
  transport::PeerHeartbeat reply;
  reply.sentAt = sentAt;
  reply.hasSnapshot = true;
  reply.digest = configuration.digest();
  reply.revisions = configuration.revisions();
  return reply;
}

}  // namespace

TEST_CASE("a grant counts from its time on, once its configuration is in effect") {
  ServingLease lease;
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const newer = configurationAt(2);
  lease.onGrant("controller", 100, newer.digest(), newer.revisions());
  lease.refresh(configurationAt(1), roster);
  CHECK_FALSE(lease.isGrantedWithin(100, 1000));
  lease.refresh(newer, roster);
  CHECK(lease.isGrantedWithin(1100, 1000));
  CHECK_FALSE(lease.isGrantedWithin(1101, 1000));
}

TEST_CASE("an older grant does not replace a newer one") {
  ServingLease lease;
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const configuration = configurationAt(1);
  lease.onGrant("controller", 100, configuration.digest(), {});
  lease.onGrant("controller", 50, configuration.digest(), {});
  lease.refresh(configuration, roster);
  CHECK(lease.isGrantedWithin(1100, 1000));
}

TEST_CASE("this router counts towards the majority once a controller has confirmed its configuration") {
  ServingLease lease;
  lease.start(100);
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const configuration = configurationAt(1);
  lease.onHeartbeatReply("b", replyWith(200, configuration), configuration, roster);
  CHECK_FALSE(lease.hasRecentQuorumContact(200, 1000, roster));
  lease.onGrant("controller", 99, configuration.digest(), {});
  lease.refresh(configuration, roster);
  CHECK_FALSE(lease.hasRecentQuorumContact(200, 1000, roster));
  lease.onGrant("controller", 100, configuration.digest(), {});
  lease.refresh(configuration, roster);
  CHECK(lease.hasRecentQuorumContact(1200, 1000, roster));
  CHECK_FALSE(lease.hasRecentQuorumContact(1201, 1000, roster));
  lease.onHeartbeatReply("b", replyWith(300, configuration), configuration, roster);
  CHECK(lease.hasRecentQuorumContact(1300, 1000, roster));
}

TEST_CASE("a reply with a newer configuration counts once that configuration is in effect here") {
  ServingLease lease;
  lease.onControllerSnapshot();
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const newer = configurationAt(2);
  lease.onHeartbeatReply("b", replyWith(200, newer), configurationAt(1), roster);
  CHECK_FALSE(lease.hasRecentQuorumContact(200, 1000, roster));
  lease.refresh(newer, roster);
  CHECK(lease.hasRecentQuorumContact(200, 1000, roster));
}

TEST_CASE("a reply of a router without a snapshot does not count as contact") {
  ServingLease lease;
  lease.onControllerSnapshot();
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const configuration = configurationAt(1);
  transport::PeerHeartbeat reply = replyWith(200, configuration);
  reply.hasSnapshot = false;
  lease.onHeartbeatReply("b", reply, configuration, roster);
  CHECK_FALSE(lease.hasRecentQuorumContact(200, 1000, roster));
}

TEST_CASE("a router learns the contacts of others from ages, if both have the same roster") {
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const configuration = configurationAt(1);
  ServingLease other;
  other.onHeartbeatReply("c", replyWith(200, configuration), configuration, roster);
  std::string const ages = other.encodeAges(200 + 2 * transport::ageUnit, 1000, roster);
  REQUIRE(ages.size() == 3);
  CHECK(static_cast<unsigned char>(ages[0]) == 0);
  CHECK(static_cast<unsigned char>(ages[1]) == 255);
  CHECK(static_cast<unsigned char>(ages[2]) == 2);

  ServingLease lease;
  transport::PeerHeartbeat reply = replyWith(1000, configuration);
  reply.ages = ages;
  lease.onHeartbeatReply("b", reply, configuration, roster);
  CHECK_FALSE(lease.hasRecentQuorumContact(1000, 500, roster));
  reply.rosterRevision = roster.revision();
  lease.onHeartbeatReply("b", reply, configuration, roster);
  CHECK(lease.hasRecentQuorumContact(1000, 500, roster));
}

TEST_CASE("forgetBefore removes older grants, replies and contacts") {
  ServingLease lease;
  Roster const roster = rosterOf({"a", "b", "c"});
  ConfigurationState const configuration = configurationAt(1);
  lease.onGrant("controller", 100, configuration.digest(), {});
  lease.onHeartbeatReply("b", replyWith(100, configuration), configuration, roster);
  lease.onHeartbeatReply("c", replyWith(100, configurationAt(2)), configuration, roster);
  CHECK(lease.size() == 3);
  lease.forgetBefore(100);
  CHECK(lease.size() == 3);
  lease.forgetBefore(101);
  CHECK(lease.size() == 0);
}
