#include <catch2/catch.hpp>

#include <corkward/config/regimes.h>

#include "validation_requests.h"

namespace config = corkward::config;
namespace control = corkward::control;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* path = "/v1/certificates";
constexpr char const* declaration =
    R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{"c1":{"regime":"health","carrier":"replicas",
  "pool":"model","zone":"z1","until":"2030-01-01T00:00:00Z"}}})";
constexpr char const* emptyDeclaration = R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{}})";

/// Certificates that are used by one tenant, which cannot be served if no certificate is declared.
struct Certificates {
  control::ValidationResult call(corkward::transport::OperatorCall const& call) {
    control::ClusterView view;
    view.regimeUses = [] { return std::vector<config::RegimeRequirement>{{"desk.nord", "health", "model"}}; };
    view.regimeFault = [](config::Regimes const& regimes, std::string const&, std::string const&) {
      return regimes.certificates.empty()
                 ? std::optional<config::RegimeFault>(config::RegimeFault{"/certificates", "none left"})
                 : std::nullopt;
    };
    control::ValidationResult result = control::validateCertificates({revision, value, call}, view);
    if (auto const* const accepted = std::get_if<control::AcceptedChange>(&result); accepted != nullptr) {
      value = accepted->value;
      ++revision;
    }
    return result;
  }

  std::uint64_t revision = 0;
  QJsonObject value;
};

}  // namespace

TEST_CASE(
    "a declaration that leaves a tenant without a certificate is rejected, while a revocation that does so is accepted "
    "and its result lists the tenant as uncovered") {
  Certificates certificates;
  REQUIRE(control::isAccepted(certificates.call(operatorCall("PUT", path, declaration, "0"))));
  control::ValidationResult const declared = certificates.call(operatorCall("PUT", path, emptyDeclaration, "1"));
  REQUIRE(control::isRejected(declared, RejectionReason::invalidCertificates));
  CHECK(std::get<control::Rejection>(declared).pointer == "/certificates");
  control::ValidationResult const revoked = certificates.call(operatorCall("DELETE", std::string(path) + "/c1"));
  REQUIRE(control::isAccepted(revoked));
  CHECK(std::get<control::AcceptedChange>(revoked).uncovered == std::vector<std::string>{"desk.nord: none left"});
}

TEST_CASE("certificates are declared together and revoked one by one") {
  Certificates certificates;
  std::string const one = std::string(path) + "/c1";
  CHECK(control::isRejected(certificates.call(operatorCall("GET", path)), RejectionReason::notFound));
  CHECK(
      control::isRejected(certificates.call(operatorCall("PUT", path, declaration)), RejectionReason::revisionMissing));
  CHECK(control::isRejected(certificates.call(operatorCall("PUT", one, "{}", "0")), RejectionReason::methodNotAllowed));
  CHECK(
      control::isRejected(certificates.call(operatorCall("DELETE", path, "", "0")), RejectionReason::methodNotAllowed));
  CHECK(control::isRejected(certificates.call(operatorCall("DELETE", one)), RejectionReason::notFound));
  REQUIRE(control::isAccepted(certificates.call(operatorCall("PUT", path, declaration, "0"))));
  CHECK(control::isRejected(certificates.call(operatorCall("PUT", path, declaration, "0", "other")),
                            RejectionReason::staleRevision));
  control::Page const page = std::get<control::Page>(certificates.call(operatorCall("GET", one)));
  CHECK(page.body.value("spec").toObject().value("pool").toString() == "model");
  CHECK(control::isRejected(certificates.call(operatorCall("GET", std::string(path) + "/c9")),
                            RejectionReason::notFound));
}
