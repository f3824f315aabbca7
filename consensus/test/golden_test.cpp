#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <corkward/consensus/replicated_registers.h>
#include <corkward/core/json.h>

#include "testing/golden/golden.h"

namespace consensus = corkward::consensus;
namespace core = corkward::core;
namespace golden = corkward::golden;
namespace transport = corkward::transport;
using core::Milliseconds;

namespace {

/// All records in the order of writing. Each line has the machine's link address, the record's key and its JSON text,
/// separated by tabs. Lines that start with "#" are comments.
constexpr char const* recordsFile = "consensus/test/golden/records.txt";
/// The committed values after the last record was written. Each line has the key, the revision and the value.
constexpr char const* committedFile = "consensus/test/golden/committed.txt";
constexpr char const* acceptorPrefix = "slot:";

std::string const first = "127.0.0.1:7001";
std::string const second = "127.0.0.1:7002";
std::string const third = "127.0.0.1:7003";
std::string const fourth = "127.0.0.1:7004";
std::vector<std::string> const founders{first, second, third};

using Disk = std::map<std::string, std::string>;

/// Returns a tuning without random delays, so that the order of events is the same in every run.
consensus::ConsensusTuning tuningWithoutRandomDelays() {
  consensus::ConsensusTuning tuning;
  tuning.electionSpread = 1;
  tuning.restartSpread = 1;
  tuning.replaceUnreachableAfter = 3000;
  return tuning;
}

/// Validator that accepts the body of each call as the key's new value.
consensus::Verdict acceptBody(std::string const&, std::uint64_t, QJsonObject const&,
                              transport::OperatorCall const& call) {
  consensus::Verdict verdict;
  verdict.change = true;
  verdict.value = core::parseJson(call.body).toObject();
  return verdict;
}

std::unique_ptr<consensus::ReplicatedRegisters> newMember(std::string const& id, std::string const& link) {
  return std::make_unique<consensus::ReplicatedRegisters>(consensus::Member{id, link}, founders, acceptBody, 1,
                                                          tuningWithoutRandomDelays());
}

/// Simulated machines in virtual time without random delays. Each message is delivered and each record is synced in the
/// next step.
class ScriptedMachines {
 public:
  enum class DiskState { sound, damaged };

  void start(std::string const& link, std::string const& id, DiskState state = DiskState::sound) {
    members_[link] = newMember(id, link);
    execute(link, members_[link]->restore(disks[link], state == DiskState::damaged, now_));
  }
  /// Ends the process. Messages that it has sent are still delivered, and messages to it are lost.
  void kill(std::string const& link) { members_.erase(link); }
  void killAll() { members_.clear(); }

  void startHandover(std::string const& link) { execute(link, members_.at(link)->startHandover(now_)); }
  void call(std::string const& link, std::string const& key, std::string const& body) {
    transport::OperatorCall call;
    call.token = ++tokens_;
    call.method = "PUT";
    call.body = body;
    std::string const owner = members_.at(link)->ownerLink(key, now_);
    std::string const at = owner.empty() ? link : owner;
    execute(at, members_.at(at)->submit(now_, key, call));
  }

  void step() {
    now_ += stepLength;
    std::deque<std::function<void()>> const due = std::move(inFlight_);
    inFlight_.clear();
    for (auto const& event : due) event();
    if (now_ % timerInterval != 0) return;
    for (auto const& [link, member] : members_) {
      if (member->discovering()) member->setDiscoveryPeers(founders);
      execute(link, member->onTimer(now_));
    }
  }
  void run(Milliseconds duration) {
    for (Milliseconds const until = now_ + duration; now_ < until;) step();
  }
  void runUntil(std::function<bool()> const& condition) {
    for (Milliseconds const limit = now_ + 20000; !condition() && now_ < limit;) step();
    REQUIRE(condition());
  }

  consensus::ReplicatedRegisters const& at(std::string const& link) const { return *members_.at(link); }
  bool isHandoverComplete(std::string const& link) const { return members_.at(link)->handoverComplete(now_); }
  /// Returns true if all running members vote and each has adopted a membership of this size.
  bool allVote(std::size_t size) const {
    for (auto const& [link, member] : members_)
      if (!member->isVoting() || member->membership().size() != size) return false;
    return true;
  }
  std::uint64_t revisionOf(std::string const& link, std::string const& key) const {
    auto const& committed = members_.at(link)->committed();
    auto const found = committed.find(key);
    return found == committed.end() ? 0 : found->second.revision;
  }

  void comment(std::string const& text) { log_ << "# " << text << "\n"; }
  std::string log() const { return log_.str(); }

  std::map<std::string, Disk> disks;

 private:
  static constexpr Milliseconds stepLength = 5;
  static constexpr Milliseconds timerInterval = 25;

  void execute(std::string const& link, consensus::RegisterCommands const& commands) {
    for (consensus::PersistCommand const& persist : commands.persists) {
      log_ << link << "\t" << persist.key << "\t" << persist.payload << "\n";
      disks[link][persist.key] = persist.payload;
      deliverNextStep(link, [this, ticket = persist.ticket](consensus::ReplicatedRegisters& member) {
        return member.onPersisted(now_, ticket, true);
      });
    }
    for (transport::Send const& send : commands.sends)
      deliverNextStep(send.to, [this, from = link, message = send.message](consensus::ReplicatedRegisters& member) {
        return member.onMessage(now_, from, message);
      });
  }
  void deliverNextStep(std::string const& link,
                       std::function<consensus::RegisterCommands(consensus::ReplicatedRegisters&)> event) {
    auto const running = members_.find(link);
    if (running == members_.end()) return;
    inFlight_.push_back([this, link, process = running->second.get(), event = std::move(event)] {
      auto const current = members_.find(link);
      if (current != members_.end() && current->second.get() == process) execute(link, event(*process));
    });
  }

  Milliseconds now_ = 1000;
  std::uint64_t tokens_ = 0;
  std::map<std::string, std::unique_ptr<consensus::ReplicatedRegisters>> members_;
  std::deque<std::function<void()>> inFlight_;
  std::ostringstream log_;
};

std::string committedText(consensus::ReplicatedRegisters const& member) {
  std::ostringstream text;
  for (auto const& [key, value] : member.committed())
    text << key << "\t" << value.revision << "\t" << core::jsonText(value.value) << "\n";
  return text.str();
}

void bootstrapMembership(ScriptedMachines& machines) {
  machines.comment("three machines with empty disks found a membership");
  machines.start(first, "m1");
  machines.start(second, "m2");
  machines.start(third, "m3");
  machines.runUntil([&] { return machines.allVote(3) && machines.revisionOf(first, consensus::membershipKey) == 1; });
}

void changeValues(ScriptedMachines& machines) {
  machines.comment("values of three keys, one of them changed twice");
  machines.call(first, "family:desk", R"({"template":{"spec":{"a":[1,2.5,null,true]},"stamp":1},"note":"ü"})");
  machines.call(second, "pool:big", R"({"generation":9007199254740993,"replicas":[]})");
  machines.call(third, "zone:z1", R"({"evacuated":true})");
  machines.run(500);
  machines.call(first, "zone:z1", R"({"evacuated":false})");
  machines.run(500);
  machines.call(first, "zone:z1", "{}");
  machines.runUntil([&] { return machines.revisionOf(first, "zone:z1") == 3; });
}

void drainAndRestart(ScriptedMachines& machines) {
  machines.comment("the first machine hands its keys over, ends, and starts again");
  machines.startHandover(first);
  machines.runUntil([&] { return machines.isHandoverComplete(first); });
  machines.run(500);
  machines.kill(first);
  machines.run(500);
  machines.start(first, "m1b");
  machines.run(1000);
}

void addAndRemoveFourth(ScriptedMachines& machines) {
  machines.comment("a fourth machine joins");
  machines.start(fourth, "m4");
  machines.runUntil([&] { return machines.allVote(4); });
  machines.run(500);
  machines.comment("it is away until it is removed, and takes another name when it hears of that");
  machines.kill(fourth);
  machines.runUntil([&] { return machines.allVote(3); });
  machines.run(500);
  std::string const before = machines.disks[fourth].at("meta");
  machines.start(fourth, "m4b");
  machines.runUntil([&] { return machines.disks[fourth].at("meta") != before; });
  machines.kill(fourth);
  machines.run(2000);
}

void damageThird(ScriptedMachines& machines) {
  machines.comment("the third machine starts with a damaged disk and joins anew in its old place");
  machines.kill(third);
  machines.run(1500);
  machines.start(third, "m5", ScriptedMachines::DiskState::damaged);
  machines.runUntil([&] { return machines.allVote(3) && machines.at(third).membership().back().id == "m5"; });
  machines.run(1000);
}

void endWithPromise(ScriptedMachines& machines) {
  machines.comment("all end when an epoch of a new key is promised and nothing is accepted under it");
  machines.call(second, "family:new", R"({"never":"accepted"})");
  machines.step();
  machines.killAll();
}

struct ScriptOutcome {
  std::string log;
  std::string committed;
};

ScriptOutcome runScript() {
  ScriptedMachines machines;
  bootstrapMembership(machines);
  changeValues(machines);
  drainAndRestart(machines);
  addAndRemoveFourth(machines);
  damageThird(machines);
  std::string const committed = committedText(machines.at(first));
  for (std::string const& link : founders) CHECK(committedText(machines.at(link)) == committed);
  endWithPromise(machines);
  return ScriptOutcome{machines.log(), committed};
}

std::string membersText(std::vector<consensus::Member> const& members) {
  std::string text;
  for (consensus::Member const& member : members) text += (text.empty() ? "" : " ") + member.id + "@" + member.link;
  return text;
}

/// Returns the content of each machine's disk after the last record of the golden file.
std::map<std::string, Disk> recordedDisks() {
  std::map<std::string, Disk> disks;
  for (std::string const& line : golden::lines(golden::read(recordsFile))) {
    if (line.rfind('#', 0) == 0) continue;
    std::size_t const keyAt = line.find('\t') + 1;
    std::size_t const payloadAt = line.find('\t', keyAt) + 1;
    REQUIRE((keyAt > 0 && payloadAt > 0));
    disks[line.substr(0, keyAt - 1)][line.substr(keyAt, payloadAt - keyAt - 1)] = line.substr(payloadAt);
  }
  return disks;
}

QJsonObject parseRecord(std::string const& record) {
  return core::parseJson(record).toObject();
}

QJsonObject ballotJson(transport::Ballot const& ballot) {
  return QJsonObject{{"n", static_cast<qint64>(ballot.number)}, {"m", core::toQString(ballot.member)}};
}

transport::Ballot ballotOf(QJsonObject const& json) {
  return transport::Ballot{static_cast<std::uint64_t>(json.value("n").toInteger()),
                           core::toStdString(json.value("m").toString())};
}

/// Sends a prepare request for the ballot to a member that runs without other members.
consensus::RegisterCommands prepare(consensus::ReplicatedRegisters& member, std::string const& key,
                                    transport::Ballot const& ballot) {
  transport::Prepare message;
  message.key = key;
  message.ballot = ballot;
  message.member = member.membership().back().id;
  message.membershipRevision = 1000;
  return member.onMessage(0, "127.0.0.1:7009", message);
}

transport::Promise promiseIn(consensus::RegisterCommands const& commands) {
  REQUIRE(commands.sends.size() == 1);
  return std::get<transport::Promise>(commands.sends.front().message);
}

/// Returns the first heartbeat of a restored member.
transport::Heartbeat firstHeartbeat(consensus::ReplicatedRegisters& member) {
  for (transport::Send const& send : member.onTimer(0).sends)
    if (auto const* const heartbeat = std::get_if<transport::Heartbeat>(&send.message)) return *heartbeat;
  FAIL("the restored member sent no heartbeat");
  return {};
}

/// Checks that a restored member replies to prepare requests as its acceptor record on the disk requires: it rejects a
/// lower ballot, repeats its promise with the accepted value, and writes the record anew for a higher ballot.
void checkAcceptorRecord(consensus::ReplicatedRegisters& member, std::string const& key, std::string const& record) {
  INFO(member.self().link << " " << key << " " << record);
  QJsonObject const json = parseRecord(record);
  CHECK(core::toStdString(json.value("i").toString()) == member.self().id);
  transport::Ballot const promised = ballotOf(json.value("p").toObject());
  REQUIRE(promised.number > 0);

  transport::Promise const rejected = promiseIn(prepare(member, key, transport::Ballot{}));
  CHECK_FALSE(rejected.granted);
  CHECK(rejected.promised == promised);

  consensus::RegisterCommands const again = prepare(member, key, promised);
  CHECK(again.persists.empty());
  transport::Promise const promise = promiseIn(again);
  CHECK(promise.granted);
  CHECK(ballotJson(promise.acceptedBallot) == json.value("a").toObject());
  CHECK(static_cast<qint64>(promise.revision) == json.value("s").toInteger(-1));
  CHECK(promise.value == json.value("v").toObject());

  transport::Ballot const higher{promised.number + 1, "m9"};
  consensus::RegisterCommands const writes = prepare(member, key, higher);
  REQUIRE(writes.persists.size() == 1);
  CHECK(writes.persists.front().key == acceptorPrefix + key);
  std::string const before = R"("p":)" + core::jsonText(ballotJson(promised));
  std::string expected = record;
  REQUIRE(expected.find(before) != std::string::npos);
  expected.replace(expected.find(before), before.size(), R"("p":)" + core::jsonText(ballotJson(higher)));
  CHECK(writes.persists.front().payload == expected);
}

ScriptedMachines restartFrom(std::map<std::string, Disk> const& disks) {
  ScriptedMachines machines;
  machines.disks = disks;
  for (std::string const& link : founders) machines.start(link, "unused");
  return machines;
}

}  // namespace

TEST_CASE("members write the records of the golden file") {
  golden::check(recordsFile, runScript().log);
}

TEST_CASE("members commit the values of the golden file") {
  golden::check(committedFile, runScript().committed);
}

TEST_CASE("a member restored from the golden records keeps its promised ballots and accepted values") {
  for (auto const& [link, disk] : recordedDisks()) {
    if (link == fourth) continue;
    INFO(link);
    std::unique_ptr<consensus::ReplicatedRegisters> const member = newMember("unused", link);
    consensus::RegisterCommands const restored = member->restore(disk, false, 0);
    CHECK(core::toQString(member->self().id) == parseRecord(disk.at("meta")).value("id").toString());
    CHECK(member->isVoting());
    CHECK(membersText(member->membership()) == "m1@127.0.0.1:7001 m2@127.0.0.1:7002 m5@127.0.0.1:7003");
    REQUIRE(restored.persists.size() == 1);
    CHECK(restored.persists.front().key == "config");
    CHECK(restored.persists.front().payload == disk.at("config"));
    transport::Heartbeat const heartbeat = firstHeartbeat(*member);
    CHECK(static_cast<qint64>(heartbeat.membershipRevision) == parseRecord(disk.at("config")).value("s").toInteger());
    CHECK(static_cast<qint64>(heartbeat.caughtUpRevision) == parseRecord(disk.at("meta")).value("settled").toInteger());
    std::size_t acceptorRecords = 0;
    for (auto const& [key, record] : disk) {
      if (key.rfind(acceptorPrefix, 0) != 0) continue;
      checkAcceptorRecord(*member, key.substr(std::string(acceptorPrefix).size()), record);
      ++acceptorRecords;
    }
    CHECK(acceptorRecords == 5);
  }
}

TEST_CASE("a member restored from the golden records of a removed member has a new id and no state") {
  Disk const disk = recordedDisks().at(fourth);
  std::unique_ptr<consensus::ReplicatedRegisters> const member = newMember("unused", fourth);
  consensus::RegisterCommands const restored = member->restore(disk, false, 0);
  CHECK(restored.persists.empty());
  CHECK(member->self().id == "m4b.1");
  CHECK(member->hasNoState());
  CHECK_FALSE(member->isVoting());
  CHECK(member->membership().empty());
  for (auto const& [key, record] : disk)
    if (key.rfind(acceptorPrefix, 0) == 0)
      CHECK_FALSE(member->mayHaveAcceptedValue(key.substr(std::string(acceptorPrefix).size())));
}

TEST_CASE("members restored from the golden records commit the golden values again") {
  ScriptedMachines machines = restartFrom(recordedDisks());
  machines.run(3000);
  CHECK(machines.allVote(3));
  for (std::string const& link : founders) {
    INFO(link);
    CHECK(committedText(machines.at(link)) == golden::read(committedFile));
  }
}

TEST_CASE("a restored member that has not caught up writes the golden metadata record again after its catch-up") {
  std::map<std::string, Disk> const disks = recordedDisks();
  for (std::string const& link : founders) {
    std::string const recorded = disks.at(link).at("meta");
    QJsonObject metadata = parseRecord(recorded);
    REQUIRE(metadata.value("settled").toInteger() == 4);
    metadata.insert("settled", 0);
    std::map<std::string, Disk> changed = disks;
    changed[link]["meta"] = core::jsonText(metadata);
    ScriptedMachines machines = restartFrom(changed);
    machines.run(3000);
    CHECK(machines.disks.at(link).at("meta") == recorded);
  }
}

TEST_CASE("a member with a damaged disk ignores the golden records") {
  std::unique_ptr<consensus::ReplicatedRegisters> const member = newMember("m9", first);
  consensus::RegisterCommands const restored = member->restore(recordedDisks().at(first), true, 0);
  REQUIRE(restored.persists.size() == 1);
  CHECK(restored.persists.front().key == "meta");
  CHECK(restored.persists.front().payload == R"({"founders":[],"id":"m9","settled":0,"voting":false})");
  CHECK(member->membership().empty());
  CHECK_FALSE(member->isVoting());
  CHECK_FALSE(member->mayHaveAcceptedValue("family:desk"));
}
