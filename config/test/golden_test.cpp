#include "config/test/golden_forms.h"

/// Parsed forms of configurations and the JSON written from them, as a released version produced them. The inputs are
/// stored next to the results, since controllers have such values on their disks and operators in their files. Record
/// the golden files again only if the documentation in docs/ changes the form of a configuration, or for a new example.
namespace config = corkward::config;
namespace core = corkward::core;
namespace golden = corkward::golden;
namespace forms = corkward::config::golden_forms;

namespace {

/// 2026-03-01T00:00:00Z, in milliseconds since 1970.
constexpr std::int64_t betweenValidities = 1772323200000;

QJsonObject entry(QJsonObject const& spec) {
  return {{"spec", spec}, {"stamp", 1}};
}

QJsonObject fileAt(std::string const& name) {
  return forms::object(golden::read(name));
}

QJsonObject familyOf(QJsonObject const& templateSpec, QJsonObject const& instanceSpec) {
  return {{"template", entry(templateSpec)}, {"instances", QJsonObject{{"nord", entry(instanceSpec)}}}};
}

/// The paths of an example template with an instance that sets its parameter "site".
std::string templateForm(std::string const& examples, std::string const& name) {
  QJsonObject const instance{{"parameters", QJsonObject{{"site", "nord"}}}};
  return forms::familyForm(name, familyOf(fileAt(examples + name + ".json"), instance), {});
}

/// The paths of a template and its instance, both in the form of declaration files.
std::string declaredForm(std::string const& examples, std::string const& name, config::Regimes const& regimes) {
  QJsonObject const own = fileAt(examples + name + ".json");
  QJsonObject const instance = fileAt(examples + name + ".nord.json");
  std::string const form =
      forms::familyForm(name, familyOf(own.value("spec").toObject(), instance.value("spec").toObject()), regimes);
  return "template " + core::toStdString(own.value("template").toString()) + "\ninstance " +
         core::toStdString(instance.value("template").toString()) + " " +
         core::toStdString(instance.value("instance").toString()) + "\n" + form;
}

/// All configurations in a directory of examples.
std::string examplesForm(std::string const& examples) {
  config::Regimes const regimes = config::readRegimes(fileAt(examples + "regimes/certificates.json"));
  std::string out;
  for (char const* const name : {"fault-desk", "card-desk"})
    out += std::string("example ") + name + ".json\n" + templateForm(examples, name);
  out += "example declared/fault-desk\n" + declaredForm(examples + "declared/", "fault-desk", {});
  out += "example regimes/certificates.json\n" + forms::formOf(regimes);
  out += "example regimes/pilot-desk\n" + declaredForm(examples + "regimes/", "pilot-desk", regimes);
  out += "example configuration.json\n";
  return out + forms::formOf(config::readFleetConfiguration(fileAt(examples + "configuration.json")));
}

/// Checks and renders a stored family, and writes it without the history of its changes.
std::string familyOutcome(std::string const& input) {
  QJsonObject const family = forms::object(input);
  config::Regimes const regimes = config::readRegimes(
      forms::object(golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front()));
  return forms::familyForm("desk", family, regimes) + "without history " +
         core::jsonText(config::removeChangeHistory(family)) + "\n";
}

std::string endpointListOutcome(std::string const& input) {
  QJsonObject const value = forms::object(input);
  config::EndpointList const pool = config::readStoredEndpointList(value);
  return forms::formOf(pool) + "written " + core::jsonText(config::endpointListJson(pool)) + "\n";
}

std::string certifiedText(config::Regimes const& regimes, config::WallTime now) {
  std::string out;
  for (char const* const regime : {"health", "export", "nobody"})
    for (char const* const zone : {"z1", "z2", "z3"}) {
      for (char const* const incarnation : {"", "r7", "r8"}) {
        config::Replica const replica{incarnation, "127.0.0.1:80", zone, config::ReplicaState::serving};
        config::Certificate const* const found = config::findCertificate(regimes, regime, "model", replica, now);
        out += std::string("  replica ") + regime + " " + zone + " " + incarnation + ": " +
               (found == nullptr ? "none" : found->name) + "\n";
      }
      for (char const* const link : {"127.0.0.8:1", "127.0.0.9:1"})
        out += std::string("  router ") + regime + " " + zone + " " + link + ": " +
               std::to_string(config::routerMayForward(regimes, regime, link, zone, now)) + "\n";
    }
  return out;
}

std::string faultsText(config::Regimes const& regimes, config::WallTime now) {
  std::string out;
  for (char const* const regime : {"health", "export", "nobody"})
    for (char const* const pool : {"model", "gateway"}) {
      auto const fault = config::findRegimeFault(regimes, regime, pool, now);
      out += std::string("  fault ") + regime + " " + pool + ": " +
             (fault ? fault->pointer + ": " + fault->reason : "none") + "\n";
    }
  return out;
}

}  // namespace

TEST_CASE("golden: the examples are parsed as recorded") {
  SECTION("recorded copies") {
    golden::check(forms::folder + "examples.form.txt", examplesForm(forms::folder + "examples/"));
  }
  SECTION("current examples") {
    golden::check(forms::folder + "examples.form.txt", examplesForm("examples/"));
  }
}

TEST_CASE("golden: fleet configurations are parsed as recorded") {
  golden::check(forms::folder + "valid-whole.form.txt",
                forms::outcomes("valid-whole.input.txt", [](std::string const& input) {
                  return forms::formOf(config::readFleetConfiguration(forms::object(input)));
                }));
}

TEST_CASE("golden: patched fleet configurations are written as recorded") {
  QJsonObject current = fileAt(forms::folder + "examples/configuration.json");
  std::string const text = forms::outcomes("patches.input.txt", [&](std::string const& input) {
    QJsonObject const next = config::patchFleetConfiguration(current, forms::object(input));
    std::string const written = "written " + core::jsonText(next) + "\n";
    std::string const read = forms::outcome([&] { return forms::formOf(config::readFleetConfiguration(next)); });
    if (read.rfind("error", 0) != 0) current = next;
    return written + read;
  });
  golden::check(forms::folder + "patches.form.txt", text);
}

TEST_CASE("golden: families are checked and rendered as recorded") {
  golden::check(forms::folder + "valid-family.form.txt", forms::outcomes("valid-family.input.txt", familyOutcome));
}

TEST_CASE("golden: endpoint lists are parsed and written as recorded") {
  golden::check(forms::folder + "valid-pool.form.txt", forms::outcomes("valid-pool.input.txt", endpointListOutcome));
}

TEST_CASE("golden: regimes and certificates are parsed as recorded") {
  golden::check(forms::folder + "valid-regimes.form.txt",
                forms::outcomes("valid-regimes.input.txt", [](std::string const& input) {
                  QJsonObject const spec = forms::object(input);
                  config::Regimes const stored = config::readStoredRegimes(entry(spec));
                  REQUIRE(forms::formOf(stored) == forms::formOf(config::readRegimes(spec)));
                  return forms::formOf(stored);
                }));
  CHECK(forms::formOf(config::readStoredRegimes({})).empty());
}

TEST_CASE("golden: certificates are valid at the recorded times, and faults of regimes are reported as recorded") {
  config::Regimes const regimes = config::readRegimes(
      forms::object(golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front()));
  std::string text;
  /// Times just before and after certificates start and end, times between these, and an unknown time.
  std::vector<config::WallTime> const times{std::nullopt,      1767225659999, 1767225660000,
                                            betweenValidities, 1780271940249, 1780271940250,
                                            1798761539999,     1798761540000, 1800000000000};
  for (config::WallTime const& now : times) {
    text += "at " + (now ? std::to_string(*now) : std::string("no time")) + "\n";
    for (auto const& [name, certificate] : regimes.certificates)
      text += "  counts " + name + ": " + std::to_string(config::isValidAt(certificate, now)) + "\n";
    text += certifiedText(regimes, now) + faultsText(regimes, now);
  }
  golden::check(forms::folder + "certificates-in-force.txt", text);
}

TEST_CASE("golden: names and labels are accepted or rejected as recorded, and labels are encoded as recorded") {
  std::vector<std::string> const names{"",
                                       "a",
                                       "zh-a",
                                       "-x",
                                       "x-",
                                       "ZH_a.1",
                                       "a b",
                                       "a/b",
                                       ".",
                                       "..",
                                       "..b",
                                       "50%",
                                       "a\nb",
                                       "\x7f",
                                       "ü",
                                       std::string("a\0b", 3),
                                       "\xff",
                                       std::string(63, 'a'),
                                       std::string(64, 'a'),
                                       std::string(128, 'a'),
                                       std::string(129, 'a')};
  std::string text;
  for (std::string const& name : names) {
    std::string const segment = config::percentEncodeLabel(name);
    text += segment + " name " + std::to_string(config::isValidName(name)) + " label " +
            std::to_string(config::isValidLabel(name)) + " back " +
            std::to_string(config::percentDecodeLabel(segment) == name) + "\n";
  }
  golden::check(forms::folder + "names.txt", text);
}

TEST_CASE("golden: keys, HTTP resources, classes and limits have their recorded values") {
  std::string text =
      std::string("key ") + config::fleetConfigurationKey + "\npage " + config::fleetConfigurationPage + "\n";
  text += std::string("key ") + config::regimesKey + "\nmargin " + std::to_string(config::clockMarginMs) + "\n";
  for (config::RequestClassDefaults const& defaults : config::requestClassDefaults)
    text += "class " + std::string(defaults.name) + " " + forms::classText(defaults.requestClass) + " aim " +
            std::to_string(defaults.latencyTarget) + " deadline " + std::to_string(defaults.deadline) + "\n";
  text += "text " + std::to_string(config::maxTextBytes) + "\npools " + std::to_string(config::maxPools) + "\n";
  text += "paths " + std::to_string(config::maxPaths) + "\ntenants " + std::to_string(config::maxTenants) + "\n";
  text += "tenant keys " + std::to_string(config::maxTenantKeys) + "\n";
  text += "instances " + std::to_string(config::maxInstances) + "\n";
  text += "rendered " + std::to_string(config::maxRenderedPaths) + "\n";
  text += "changes " + std::to_string(config::changeWindow) + "\n";
  text += "regimes " + std::to_string(config::maxRegimes) + "\n";
  text += "certificates " + std::to_string(config::maxCertificates) + "\n";
  golden::check(forms::folder + "constants.txt", text);
}
