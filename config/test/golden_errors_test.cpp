#include <QJsonArray>

#include "config/test/golden_forms.h"

/// Errors of invalid configurations with their pointers and texts, which stand on operators' pages. Recording them anew
/// is right only when docs/ gives the pages another form.
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

/// A list with one item more than is allowed.
QJsonArray listOver(std::size_t most, std::function<QJsonValue(int)> const& item) {
  QJsonArray out;
  for (int i = 0; i <= static_cast<int>(most); ++i) out.append(item(i));
  return out;
}

QJsonObject objectOver(std::size_t most, QJsonValue const& item) {
  QJsonObject out;
  for (int i = 0; i <= static_cast<int>(most); ++i) out.insert(nameOf(i), item);
  return out;
}

QJsonValue named(int n) {
  return QJsonObject{{"name", nameOf(n)}};
}

QJsonObject wholeWith(char const* field, QJsonValue const& value) {
  QJsonObject out{{"version", 1}, {"paths", QJsonArray()}, {"pools", QJsonArray()}};
  out.insert(QLatin1String(field), value);
  return out;
}

std::string wholeError(char const* field, QJsonValue const& value) {
  return forms::outcome([&] { return forms::formOf(config::readFleetConfiguration(wholeWith(field, value))); });
}

std::string patchError(char const* part, QJsonArray const& list) {
  QJsonObject const patch{{"version", 2}, {part, QJsonObject{{"paths", list}}}};
  return forms::outcome(
      [&] { return core::jsonText(config::patchFleetConfiguration(wholeWith("version", 1), patch)); });
}

std::string familyError(QJsonObject const& spec, QJsonObject const& instances) {
  QJsonObject const family{{"template", QJsonObject{{"spec", spec}}}, {"instances", instances}};
  return forms::outcome([&] { return forms::familyForm("desk", family, {}); });
}

std::string regimesError(QJsonObject const& regimes, QJsonObject const& certificates) {
  QJsonObject const spec{{"regimes", regimes}, {"certificates", certificates}};
  return forms::outcome([&] { return forms::formOf(config::readRegimes(spec)); });
}

QJsonValue pathRow(int n) {
  return QJsonObject{{"path", nameOf(n)}, {"pool", "model"}, {"class", "short"}};
}

/// A template of so many paths.
QJsonObject templateOf(std::size_t paths) {
  return {{"paths", listOver(paths - 1, pathRow)}};
}

}  // namespace

TEST_CASE("golden: errors of whole configurations are the same") {
  checkErrors("whole", [](QJsonObject const& spec) { config::readFleetConfiguration(spec); });
}

TEST_CASE("golden: errors of families are the same") {
  std::string const valid = golden::lines(golden::read(forms::folder + "valid-regimes.input.txt")).front();
  config::Regimes const regimes = config::readRegimes(forms::object(valid));
  checkErrors("family", [&](QJsonObject const& family) { forms::familyForm("desk", family, regimes); });
}

TEST_CASE("golden: errors of pools are the same") {
  checkErrors("pool", [](QJsonObject const& value) { config::readEndpointList(value); });
}

TEST_CASE("golden: errors of regimes and certificates are the same") {
  checkErrors("regimes", [](QJsonObject const& spec) { config::readRegimes(spec); });
}

TEST_CASE("golden: errors of what is too many are the same") {
  QJsonValue const regime = QJsonObject{{"nacelles", "any"}};
  QJsonArray const keys = listOver(config::maxTenantKeys, [](int n) { return QJsonValue(nameOf(n)); });
  QJsonObject const manyParameters = objectOver(64, QJsonObject{{"type", "string"}});
  QJsonObject const pool{{"generation", 1}, {"replicas", listOver(4096, named)}};
  std::string text;
  text += wholeError("pools", listOver(config::maxPools, named));
  text += wholeError("paths", listOver(config::maxPaths, named));
  text += wholeError("tenants", listOver(config::maxTenants, named));
  text += wholeError("tenants", QJsonArray{QJsonObject{{"name", "a"}, {"keys", keys}}});
  text += patchError("set", listOver(config::maxPaths, named));
  text += patchError("drop", listOver(config::maxPaths, [](int n) { return QJsonValue(nameOf(n)); }));
  text += familyError({{"parameters", manyParameters}, {"paths", QJsonArray{pathRow(0)}}}, {});
  text += familyError(templateOf(config::maxPaths + 1), {});
  text += familyError(templateOf(1), objectOver(config::maxInstances, QJsonObject{{"spec", QJsonObject()}}));
  text +=
      familyError(templateOf(config::maxRenderedPaths / 1000), objectOver(1000, QJsonObject{{"spec", QJsonObject()}}));
  text += regimesError(objectOver(config::maxRegimes, regime), {});
  text += regimesError({}, objectOver(config::maxCertificates, QJsonObject()));
  text += forms::outcome([&] { return forms::formOf(config::readEndpointList(pool)); });
  golden::check(forms::folder + "too-many.errors.txt", text);
}
