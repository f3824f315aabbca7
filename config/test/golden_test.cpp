#include "config/test/golden_forms.h"

/// Parsed forms of configurations, and the JSON that is written of them, as a released version had them. The inputs
/// stand beside the results, since members keep such values on their disks and operators in their files. Recording anew
/// is right only when docs/ gives a configuration another form; a new example adds a file.
namespace config = corkward::config;
namespace core = corkward::core;
namespace golden = corkward::golden;
namespace forms = corkward::config::golden_forms;

namespace {

/// 2026-03-01T00:00:00Z
constexpr std::int64_t spring = 1772323200000;

QJsonObject entry(QJsonObject const& spec) {
  return {{"spec", spec}, {"stamp", 1}};
}

QJsonObject fileAt(std::string const& name) {
  return forms::object(golden::read(name));
}

QJsonObject familyOf(QJsonObject const& templateSpec, QJsonObject const& instanceSpec) {
  return {{"template", entry(templateSpec)}, {"instances", QJsonObject{{"nord", entry(instanceSpec)}}}};
}

/// A template of the examples with an instance that names its site.
std::string templateForm(std::string const& examples, std::string const& name) {
  QJsonObject const instance{{"parameters", QJsonObject{{"site", "nord"}}}};
  return forms::familyForm(name, familyOf(fileAt(examples + name + ".json"), instance), {});
}

/// A declared template with its declared instance.
std::string declaredForm(std::string const& examples, std::string const& name, config::Regimes const& regimes) {
  QJsonObject const own = fileAt(examples + name + ".json");
  QJsonObject const instance = fileAt(examples + name + ".nord.json");
  std::string const form =
      forms::familyForm(name, familyOf(own.value("spec").toObject(), instance.value("spec").toObject()), regimes);
  return "template " + core::toStdString(own.value("template").toString()) + "\ninstance " +
         core::toStdString(instance.value("template").toString()) + " " +
         core::toStdString(instance.value("instance").toString()) + "\n" + form;
}

/// All configurations of a folder of examples.
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

/// A family as it is kept in a register is checked, rendered, and written without its history.
std::string familyOutcome(std::string const& input) {
  QJsonObject const family = forms::object(input);
  config::Regimes const regimes = config::readRegimes(
      forms::object(golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front()));
  return forms::familyForm("desk", family, regimes) + "without history " +
         core::jsonText(config::removeChangeHistory(family)) + "\n";
}

std::string poolOutcome(std::string const& input) {
  QJsonObject const value = forms::object(input);
  config::EndpointList const pool = config::readStoredEndpointList(value);
  return forms::formOf(pool) + "written " + core::jsonText(config::endpointListJson(pool)) + "\n";
}

std::string certifiedText(config::Regimes const& regimes, config::WallTime now) {
  std::string out;
  for (char const* const regime : {"health", "export", "nobody"})
    for (char const* const zone : {"z1", "z2", "z3"}) {
      for (char const* const life : {"", "r7", "r8"}) {
        config::Replica const replica{life, "127.0.0.1:80", zone, config::ReplicaState::serving};
        config::Certificate const* const found = config::findCertificate(regimes, regime, "model", replica, now);
        out += std::string("  replica ") + regime + " " + zone + " " + life + ": " +
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

TEST_CASE("golden: the examples are parsed to the same form") {
  SECTION("as they were recorded") {
    golden::check(forms::folder + "examples.form.txt", examplesForm(forms::folder + "examples/"));
  }
  SECTION("as they are") {
    golden::check(forms::folder + "examples.form.txt", examplesForm("examples/"));
  }
}

TEST_CASE("golden: whole configurations are parsed to the same form") {
  golden::check(forms::folder + "valid-whole.form.txt",
                forms::outcomes("valid-whole.input.txt", [](std::string const& input) {
                  return forms::formOf(config::readFleetConfiguration(forms::object(input)));
                }));
}

TEST_CASE("golden: patches of a whole configuration write the same JSON") {
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

TEST_CASE("golden: families are checked and rendered to the same form") {
  golden::check(forms::folder + "valid-family.form.txt", forms::outcomes("valid-family.input.txt", familyOutcome));
}

TEST_CASE("golden: pools are parsed to the same form, and written to the same JSON") {
  golden::check(forms::folder + "valid-pool.form.txt", forms::outcomes("valid-pool.input.txt", poolOutcome));
}

TEST_CASE("golden: regimes and certificates are parsed to the same form") {
  golden::check(forms::folder + "valid-regimes.form.txt",
                forms::outcomes("valid-regimes.input.txt", [](std::string const& input) {
                  QJsonObject const spec = forms::object(input);
                  config::Regimes const kept = config::readStoredRegimes(entry(spec));
                  REQUIRE(forms::formOf(kept) == forms::formOf(config::readRegimes(spec)));
                  return forms::formOf(kept);
                }));
  CHECK(forms::formOf(config::readStoredRegimes({})).empty());
}

TEST_CASE("golden: certificates count, and faults of regimes are told, alike") {
  config::Regimes const regimes = config::readRegimes(
      forms::object(golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front()));
  std::string text;
  /// Around the beginning and the end of certificates, between them, and without a time.
  std::vector<config::WallTime> const times{std::nullopt,  1767225659999, 1767225660000, spring,       1780271940249,
                                            1780271940250, 1798761539999, 1798761540000, 1800000000000};
  for (config::WallTime const& now : times) {
    text += "at " + (now ? std::to_string(*now) : std::string("no time")) + "\n";
    for (auto const& [name, certificate] : regimes.certificates)
      text += "  counts " + name + ": " + std::to_string(config::isValidAt(certificate, now)) + "\n";
    text += certifiedText(regimes, now) + faultsText(regimes, now);
  }
  golden::check(forms::folder + "certificates-in-force.txt", text);
}

TEST_CASE("golden: names and labels are accepted and written alike") {
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
    std::string const part = config::percentEncodeLabel(name);
    text += part + " name " + std::to_string(config::isValidName(name)) + " label " +
            std::to_string(config::isValidLabel(name)) + " back " +
            std::to_string(config::percentDecodeLabel(part) == name) + "\n";
  }
  golden::check(forms::folder + "names.txt", text);
}

TEST_CASE("golden: keys, pages, classes and bounds are the same") {
  std::string text =
      std::string("key ") + config::fleetConfigurationKey + "\npage " + config::fleetConfigurationPage + "\n";
  text += std::string("key ") + config::regimesKey + "\nmargin " + std::to_string(config::clockMarginMs) + "\n";
  for (config::RequestClassDefaults const& row : config::requestClassDefaults)
    text += "class " + std::string(row.name) + " " + forms::classText(row.requestClass) + " aim " +
            std::to_string(row.latencyTarget) + " deadline " + std::to_string(row.deadline) + "\n";
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
