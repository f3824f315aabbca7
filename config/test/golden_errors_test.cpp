#include <QJsonArray>

#include "config/test/golden_forms.h"

/// Errors of invalid configurations: their pointers and texts, which operators get in HTTP responses. Record the golden
/// files again only if the documentation in docs/ changes the form of these responses.
namespace config = corkward::config;
namespace core = corkward::core;
namespace golden = corkward::golden;
namespace forms = corkward::config::golden_forms;

namespace {

void checkErrors(std::string const& kind, std::function<void(QJsonObject const&)> const& read) {
  std::string const text = forms::outcomes("invalid-" + kind + ".input.txt", [&](std::string const& input) {
    read(forms::object(input));
    return std::string("accepted\n");
  });
  golden::check(forms::folder + "invalid-" + kind + ".errors.txt", text);
}

QString nameOf(int n) {
  return "n" + QString::number(n);
}

/// A list with one item more than the maximum.
QJsonArray listExceeding(std::size_t maximum, std::function<QJsonValue(int)> const& item) {
  QJsonArray out;
  for (int i = 0; i <= static_cast<int>(maximum); ++i) out.append(item(i));
  return out;
}

QJsonObject objectExceeding(std::size_t maximum, QJsonValue const& item) {
  QJsonObject out;
  for (int i = 0; i <= static_cast<int>(maximum); ++i) out.insert(nameOf(i), item);
  return out;
}

QJsonValue named(int n) {
  return QJsonObject{{"name", nameOf(n)}};
}

QJsonObject fleetConfigurationWith(char const* field, QJsonValue const& value) {
  QJsonObject out{{"version", 1}, {"paths", QJsonArray()}, {"pools", QJsonArray()}};
  out.insert(QLatin1String(field), value);
  return out;
}

std::string fleetConfigurationError(char const* field, QJsonValue const& value) {
  return forms::outcome(
      [&] { return forms::formOf(config::readFleetConfiguration(fleetConfigurationWith(field, value))); });
}

std::string patchError(char const* section, QJsonArray const& list) {
  QJsonObject const patch{{"version", 2}, {section, QJsonObject{{"paths", list}}}};
  return forms::outcome(
      [&] { return core::jsonText(config::patchFleetConfiguration(fleetConfigurationWith("version", 1), patch)); });
}

std::string familyError(QJsonObject const& spec, QJsonObject const& instances) {
  QJsonObject const family{{"template", QJsonObject{{"spec", spec}}}, {"instances", instances}};
  return forms::outcome([&] { return forms::familyForm("desk", family, {}); });
}

std::string regimesError(QJsonObject const& regimes, QJsonObject const& certificates) {
  QJsonObject const spec{{"regimes", regimes}, {"certificates", certificates}};
  return forms::outcome([&] { return forms::formOf(config::readRegimes(spec)); });
}

QJsonValue pathSpec(int n) {
  return QJsonObject{{"path", nameOf(n)}, {"pool", "model"}, {"class", "short"}};
}

/// A template with the given number of paths.
QJsonObject templateOf(std::size_t paths) {
  return {{"paths", listExceeding(paths - 1, pathSpec)}};
}

}  // namespace

TEST_CASE("golden: invalid fleet configurations are rejected with the recorded errors") {
  checkErrors("whole", [](QJsonObject const& spec) { config::readFleetConfiguration(spec); });
}

TEST_CASE("golden: invalid families are rejected with the recorded errors") {
  std::string const valid = golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front();
  config::Regimes const regimes = config::readRegimes(forms::object(valid));
  checkErrors("family", [&](QJsonObject const& family) { forms::familyForm("desk", family, regimes); });
}

TEST_CASE("golden: invalid endpoint lists are rejected with the recorded errors") {
  checkErrors("pool", [](QJsonObject const& value) { config::readEndpointList(value); });
}

TEST_CASE("golden: invalid regimes and certificates are rejected with the recorded errors") {
  checkErrors("regimes", [](QJsonObject const& spec) { config::readRegimes(spec); });
}

TEST_CASE("golden: lists that exceed their limits are rejected with the recorded errors") {
  QJsonValue const regime = QJsonObject{{"nacelles", "any"}};
  QJsonArray const keys = listExceeding(config::maxTenantKeys, [](int n) { return QJsonValue(nameOf(n)); });
  QJsonObject const manyParameters = objectExceeding(64, QJsonObject{{"type", "string"}});
  QJsonObject const pool{{"generation", 1}, {"replicas", listExceeding(4096, named)}};
  std::string text;
  text += fleetConfigurationError("pools", listExceeding(config::maxPools, named));
  text += fleetConfigurationError("paths", listExceeding(config::maxPaths, named));
  text += fleetConfigurationError("tenants", listExceeding(config::maxTenants, named));
  text += fleetConfigurationError("tenants", QJsonArray{QJsonObject{{"name", "a"}, {"keys", keys}}});
  text += patchError("set", listExceeding(config::maxPaths, named));
  text += patchError("drop", listExceeding(config::maxPaths, [](int n) { return QJsonValue(nameOf(n)); }));
  text += familyError({{"parameters", manyParameters}, {"paths", QJsonArray{pathSpec(0)}}}, {});
  text += familyError(templateOf(config::maxPaths + 1), {});
  text += familyError(templateOf(1), objectExceeding(config::maxInstances, QJsonObject{{"spec", QJsonObject()}}));
  text += familyError(templateOf(config::maxRenderedPaths / 1000),
                      objectExceeding(1000, QJsonObject{{"spec", QJsonObject()}}));
  text += regimesError(objectExceeding(config::maxRegimes, regime), {});
  text += regimesError({}, objectExceeding(config::maxCertificates, QJsonObject()));
  text += forms::outcome([&] { return forms::formOf(config::readEndpointList(pool)); });
  golden::check(forms::folder + "too-many.errors.txt", text);
}
