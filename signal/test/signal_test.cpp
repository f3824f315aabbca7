#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTimer>
#include <corkward/core/json.h>
#include <corkward/signal/link.h>

namespace core = corkward::core;
namespace signal = corkward::signal;

TEST_CASE("an envelope comes back as it was, and no damaged one is taken for whole") {
  signal::Accept accept;
  accept.key = "family:fault";
  accept.epoch = signal::Epoch{7, "m1"};
  accept.stamp = 12;
  accept.value = core::parseJson(R"({"a":[1,2,{"b":"ü"}],"n":null})").toObject();
  std::string const bytes = signal::pack(signal::Envelope{"127.0.0.1:1", accept});
  signal::Envelope const back = signal::unpack(bytes);
  signal::Accept const& got = std::get<signal::Accept>(back.message);
  CHECK(got.epoch == accept.epoch);
  CHECK(got.stamp == 12);
  CHECK(got.value == accept.value);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    CHECK_THROWS_AS(signal::unpack(bytes.substr(0, cut)), signal::Error);
}

TEST_CASE("a digest follows the set, whatever the order, and comes back over the wire") {
  signal::Stamps const stamps{{"family:desk", 5}, {"family:fault", 6}};
  signal::Digest built;
  built.replace("family:fault", 0, 2);
  built.replace("family:desk", 0, 5);
  CHECK_FALSE(built == signal::digestOf(stamps));
  built.replace("family:fault", 2, 6);
  CHECK(built == signal::digestOf(stamps));
  CHECK_FALSE(built == signal::digestOf({{"family:desk", 6}, {"family:fault", 5}}));
  built.replace("family:desk", 5, 0);
  CHECK(built == signal::digestOf({{"family:fault", 6}}));
  signal::Confirm c;
  c.digest = signal::digestOf(stamps);
  CHECK(std::get<signal::Confirm>(signal::unpack(signal::pack(signal::Envelope{"s", c})).message).digest == c.digest);
}

TEST_CASE("random bytes never pass for an envelope and never crash the reader") {
  core::Rng rng(42);
  std::string const good = signal::pack(signal::Envelope{"a", signal::SeenAsk{1, "id", 2, 0, ""}});
  int thrown = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good;
    if (round % 2 == 0) {
      bytes.assign(rng.below(64), '\0');
      for (char& c : bytes) c = static_cast<char>(rng.next());
    } else {
      for (int i = 0; i < 3; ++i) bytes[rng.below(bytes.size())] = static_cast<char>(rng.next());
    }
    try {
      signal::unpack(bytes);
    } catch (signal::Error const&) {
      ++thrown;
    }
  }
  CHECK(thrown > 10000);
}

TEST_CASE("links carry messages both ways over nng on ephemeral ports") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  QObject owner;
  std::vector<std::uint64_t> got;
  std::unique_ptr<signal::Link> b;
  signal::Link a(&owner, "127.0.0.1:0", [&](signal::Envelope e) {
    if (!std::holds_alternative<signal::SeenEcho>(e.message)) return;
    got.push_back(std::get<signal::SeenEcho>(e.message).token);
    if (got.size() == 10) QCoreApplication::quit();
  });
  b = std::make_unique<signal::Link>(&owner, "127.0.0.1:0", [&](signal::Envelope e) {
    b->send(e.from, signal::SeenEcho{std::get<signal::SeenAsk>(e.message).token, b->address(), true, false, false, 0, {}});
  });
  for (std::uint64_t i = 1; i <= 10; ++i) a.send(b->address(), signal::SeenAsk{i, "x", 2, 0, ""});
  QTimer::singleShot(30000, [] { QCoreApplication::exit(1); });
  CHECK(QCoreApplication::exec() == 0);
  CHECK(got == std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
}
