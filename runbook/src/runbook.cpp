#include <corkward/runbook/runbook.h>

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <set>

#include <corkward/core/json.h>

namespace corkward::runbook {

namespace {

struct KindRow {
  char const* name;
  Kind kind;
  bool changes;
  std::array<char const*, 3> words;
  char const* object;
};

constexpr std::array<KindRow, 10> kindTable{
    {{"evacuate", Kind::evacuate, true, {"zone"}, nullptr},
     {"lift", Kind::lift, true, {"zone"}, nullptr},
     {"put-template", Kind::putTemplate, true, {"template"}, "spec"},
     {"patch-template", Kind::patchTemplate, true, {"template"}, "patch"},
     {"put-instance", Kind::putInstance, true, {"template", "instance"}, "spec"},
     {"patch-instance", Kind::patchInstance, true, {"template", "instance"}, "patch"},
     {"wait", Kind::wait, false, {"page"}, "expect"},
     {"verify", Kind::verify, false, {"file"}, nullptr},
     {"save", Kind::save, false, {"file"}, nullptr},
     {"confirm", Kind::confirm, false, {"say"}, nullptr}}};

constexpr std::array<char const*, 5> expectWords{"pointer", "equals", "atLeast", "atMost", "each"};

KindRow const& rowOf(Kind kind) {
  return *std::find_if(kindTable.begin(), kindTable.end(), [&](KindRow const& r) { return r.kind == kind; });
}

QString fill(QString const& text, std::map<std::string, std::string> const& parameters, std::string const& at) {
  QString out = text;
  qsizetype open = out.indexOf("${");
  while (open >= 0) {
    qsizetype const close = out.indexOf('}', open);
    if (close < 0) throw Error(at, "${ without }");
    std::string const name = core::toStdString(out.mid(open + 2, close - open - 2));
    std::map<std::string, std::string>::const_iterator const it = parameters.find(name);
    if (it == parameters.end()) throw Error(at, "no value for parameter " + name);
    out.replace(open, close - open + 1, core::toQString(it->second));
    open = out.indexOf("${", open + static_cast<qsizetype>(it->second.size()));
  }
  return out;
}

QJsonValue fillAll(QJsonValue const& v, std::map<std::string, std::string> const& parameters, std::string const& at) {
  if (v.isString()) return fill(v.toString(), parameters, at);
  if (v.isArray()) {
    QJsonArray out;
    for (QJsonValue const item : v.toArray()) out.append(fillAll(item, parameters, at));
    return out;
  }
  if (!v.isObject()) return v;
  QJsonObject out;
  QJsonObject const o = v.toObject();
  for (QString const& k : o.keys()) out.insert(k, fillAll(o.value(k), parameters, at + "/" + core::toStdString(k)));
  return out;
}

void checkExpect(QJsonObject const& e, std::string const& at) {
  for (QString const& k : e.keys())
    if (std::none_of(expectWords.begin(), expectWords.end(), [&](char const* w) { return k == QLatin1String(w); }))
      throw Error(at + "/" + core::toStdString(k), "unknown field");
  if (!e.value("pointer").toString().startsWith('/')) throw Error(at + "/pointer", "must be a JSON pointer");
  int const tests = (e.contains("equals") ? 1 : 0) + (e.contains("atLeast") ? 1 : 0) + (e.contains("atMost") ? 1 : 0);
  if (tests != 1) throw Error(at, "wants one of equals, atLeast and atMost");
  if (e.contains("each") && !e.value("each").isString()) throw Error(at + "/each", "must be a text");
  for (char const* n : {"atLeast", "atMost"})
    if (e.contains(QLatin1String(n)) && !e.value(QLatin1String(n)).isDouble())
      throw Error(at + "/" + n, "must be a number");
}

bool holds(QJsonValue const& seen, QJsonObject const& expect) {
  if (expect.contains("equals")) return seen == expect.value("equals");
  if (!seen.isDouble()) return false;
  return expect.contains("atLeast") ? seen.toDouble() >= expect.value("atLeast").toDouble()
                                    : seen.toDouble() <= expect.value("atMost").toDouble();
}

/// Checks that the runbook's parameters and the values given are the same names.
void checkParameters(QJsonObject const& book, std::map<std::string, std::string> const& parameters) {
  std::set<std::string> declared;
  if (book.contains("parameters") && !book.value("parameters").isArray())
    throw Error("/parameters", "must be a list of names");
  for (QJsonValue const p : book.value("parameters").toArray()) {
    std::string const name = core::toStdString(p.toString());
    if (name.empty() || !declared.insert(name).second) throw Error("/parameters", "must be a list of different names");
    if (parameters.count(name) == 0) throw Error("/parameters", "no value given for " + name);
  }
  for (std::map<std::string, std::string>::value_type const& p : parameters)
    if (declared.count(p.first) == 0) throw Error("/parameters", "the runbook has no parameter " + p.first);
}

KindRow const& rowNamed(QJsonValue const& name, std::string const& at) {
  for (KindRow const& r : kindTable)
    if (name.toString() == QLatin1String(r.name)) return r;
  throw Error(at + "/do", "no such kind of step");
}

/// Reads the object that a step of this kind wants: an expectation or the body of a change.
void readObject(Step& step, KindRow const& row, QJsonObject const& raw, std::string const& at) {
  if (!raw.value(QLatin1String(row.object)).isObject()) throw Error(at + "/" + row.object, "must be an object");
  QJsonObject const o = raw.value(QLatin1String(row.object)).toObject();
  if (row.kind == Kind::wait) {
    checkExpect(o, at + "/expect");
    step.expect = o;
  } else {
    step.body = o;
  }
}

/// Reads one step, whose parameters have been filled in.
Step readStep(QJsonObject const& raw, std::string const& at) {
  KindRow const& row = rowNamed(raw.value("do"), at);
  Step step;
  step.kind = row.kind;
  step.name = core::toStdString(raw.value("name").toString(row.name));
  std::set<std::string> allowed{"do", "name", "limitSeconds"};
  for (char const* w : row.words) {
    if (w == nullptr) continue;
    allowed.insert(w);
    std::string const value = core::toStdString(raw.value(QLatin1String(w)).toString());
    if (value.empty()) throw Error(at + "/" + w, "must be a text");
    step.words[w] = value;
  }
  if (row.object != nullptr) {
    allowed.insert(row.object);
    readObject(step, row, raw, at);
  }
  if (row.kind == Kind::wait && step.words["page"].front() != '/') throw Error(at + "/page", "must begin with /");
  if (raw.contains("limitSeconds")) {
    int const limit = raw.value("limitSeconds").toInt(0);
    if (limit < 1 || limit > 3600) throw Error(at + "/limitSeconds", "must be 1 to 3600");
    step.limitSeconds = limit;
  }
  for (QString const& k : raw.keys())
    if (allowed.count(core::toStdString(k)) == 0) throw Error(at + "/" + core::toStdString(k), "unknown field");
  return step;
}

}  // namespace

char const* kindName(Kind kind) {
  return rowOf(kind).name;
}

bool changes(Kind kind) {
  return rowOf(kind).changes;
}

Runbook readRunbook(std::string const& text, std::map<std::string, std::string> const& parameters) {
  QJsonValue const root = core::parseJson(text);
  if (!root.isObject()) throw Error("/", "must be an object");
  QJsonObject const book = root.toObject();
  for (QString const& k : book.keys())
    if (k != "runbook" && k != "note" && k != "parameters" && k != "steps")
      throw Error("/" + core::toStdString(k), "unknown field");
  Runbook out;
  out.name = core::toStdString(book.value("runbook").toString());
  if (out.name.empty()) throw Error("/runbook", "missing name");
  checkParameters(book, parameters);
  if (!book.value("steps").isArray() || book.value("steps").toArray().isEmpty())
    throw Error("/steps", "must be a list with steps");
  QJsonArray const steps = book.value("steps").toArray();
  for (qsizetype i = 0; i < steps.size(); ++i) {
    std::string const at = "/steps/" + std::to_string(i);
    if (!steps.at(i).isObject()) throw Error(at, "must be an object");
    out.steps.push_back(readStep(fillAll(steps.at(i), parameters, at).toObject(), at));
  }
  return out;
}

Expectation meets(QJsonObject const& page, QJsonObject const& expect) {
  QJsonValue at = page;
  QStringList const parts = expect.value("pointer").toString().split('/').mid(1);
  for (QString const& part : parts) {
    if (at.isArray()) {
      bool ok = false;
      qsizetype const ix = part.toLongLong(&ok);
      at = ok ? at.toArray().at(ix) : QJsonValue(QJsonValue::Undefined);
    } else {
      at = at.toObject().value(part);
    }
  }
  Expectation out;
  out.seen = at.isUndefined() ? "nothing" : core::jsonText(at);
  if (!expect.contains("each")) {
    out.met = at.isArray() && !expect.contains("equals") ? holds(static_cast<qint64>(at.toArray().size()), expect)
                                                         : holds(at, expect);
    return out;
  }
  QJsonArray const items = at.toArray();
  out.met = at.isArray() && std::all_of(items.begin(), items.end(), [&](QJsonValue const& item) {
              return holds(item.toObject().value(expect.value("each").toString()), expect);
            });
  return out;
}

}  // namespace corkward::runbook
