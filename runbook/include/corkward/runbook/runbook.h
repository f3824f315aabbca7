#pragma once

#include <QJsonObject>
#include <map>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::runbook {

/// A runbook that cannot be carried out as written; says the place as a JSON pointer. Nothing was done.
class Error : public core::Error {
 public:
  Error(std::string pointer, std::string const& reason)
      : core::Error(pointer + ": " + reason), pointer_(std::move(pointer)) {}
  std::string const& pointer() const { return pointer_; }

 private:
  std::string pointer_;
};

enum class Kind { evacuate, lift, putTemplate, patchTemplate, putInstance, patchInstance, wait, verify, save, confirm };

/// One step, filled in and checked.
struct Step {
  std::string name;
  Kind kind = Kind::confirm;
  std::map<std::string, std::string> words;
  QJsonObject body;
  QJsonObject expect;
  int limitSeconds = 30;
};

/// A checked runbook.
struct Runbook {
  std::string name;
  std::vector<Step> steps;
};

/// Reads a runbook, fills its parameters in and checks every step. Throws Error or core::JsonError.
Runbook readRunbook(std::string const& text, std::map<std::string, std::string> const& parameters);

/// What a wait step expects of a page; pure.
struct Expectation {
  bool met = false;
  std::string seen;
};
Expectation meets(QJsonObject const& page, QJsonObject const& expect);

/// Name of a kind as runbooks write it.
char const* kindName(Kind kind);

/// True for kinds that change something.
bool changes(Kind kind);

}  // namespace corkward::runbook
