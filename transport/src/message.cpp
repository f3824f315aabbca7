#include <corkward/transport/message.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <array>
#include <functional>
#include <type_traits>

namespace corkward::transport {

namespace {

/// Names of the kinds, in the order of Message.
constexpr std::array<char const*, 32> kinds{"shuffle",
                                            "prepare",
                                            "promise",
                                            "accept",
                                            "accepted",
                                            "commit",
                                            "handover",
                                            "beat",
                                            "beat-echo",
                                            "fetch",
                                            "copy",
                                            "call",
                                            "outcome",
                                            "news",
                                            "news-ack",
                                            "holding",
                                            "ask",
                                            "confirm",
                                            "hint",
                                            "touch",
                                            "seen-ask",
                                            "seen-echo",
                                            "seen-left",
                                            "warm-ask",
                                            "warm-grant",
                                            "no-disk",
                                            "quota-report",
                                            "quota-loans",
                                            "quota-claim-ask",
                                            "quota-claims",
                                            "quota-term-ask",
                                            "quota-term-grant"};
static_assert(kinds.size() == std::variant_size_v<Message>);

/// Writes the fields of a message to a CBOR map.
struct Packer {
  QCborMap map;

  static QCborValue put(bool v) { return QCborValue(v); }
  static QCborValue put(int v) { return QCborValue(static_cast<qint64>(v)); }
  static QCborValue put(std::int64_t v) { return QCborValue(static_cast<qint64>(v)); }
  static QCborValue put(std::uint64_t v) { return QCborValue(static_cast<qint64>(v)); }
  static QCborValue put(std::string const& v) {
    return QCborValue(QByteArray(v.data(), static_cast<qsizetype>(v.size())));
  }
  static QCborValue put(QJsonObject const& v) { return QCborMap::fromJsonObject(v); }
  template <class T>
  static QCborValue put(std::vector<T> const& v) {
    QCborArray out;
    for (T const& item : v) out.append(put(item));
    return out;
  }
  static QCborValue put(Revisions const& v) {
    QCborArray out;
    for (auto const& [key, revision] : v) {
      out.append(put(key));
      out.append(put(revision));
    }
    return out;
  }
  static QCborValue put(Digest const& v) {
    return QCborArray{static_cast<qint64>(v.sum), static_cast<qint64>(v.count)};
  }
  template <class T>
  requires requires(T t, Packer p) { t.each(p); }
  static QCborValue put(T const& v) {
    Packer inner;
    const_cast<T&>(v).each(inner);
    return inner.map;
  }
  template <class T>
  void operator()(char const* name, T& v) {
    map.insert(QLatin1String(name), put(v));
  }
  template <class T>
  void optional(char const* name, T& v) {
    (*this)(name, v);
  }
  /// Writes a field that earlier releases do not know, unless it has its default value.
  template <class T>
  void unlessDefault(char const* name, T& v) {
    if (v != T{}) (*this)(name, v);
  }
};

/// Reads the fields of a message from a CBOR map.
struct Unpacker {
  QCborMap const& map;

  [[noreturn]] static void failType() { throw TransportError("field has a wrong type or is out of range"); }
  static void get(QCborValue const& c, bool& v) {
    if (!c.isBool()) failType();
    v = c.toBool();
  }
  static void get(QCborValue const& c, int& v) {
    if (!c.isInteger()) failType();
    v = static_cast<int>(c.toInteger());
  }
  /// Times, revisions, ballot numbers and ages are at least 0 and stay far below this.
  static constexpr qint64 maxInteger = qint64{1} << 53;
  static void get(QCborValue const& c, std::int64_t& v) {
    if (!c.isInteger() || c.toInteger() < 0 || c.toInteger() > maxInteger) failType();
    v = c.toInteger();
  }
  static void get(QCborValue const& c, std::uint64_t& v) {
    std::int64_t n = 0;
    get(c, n);
    v = static_cast<std::uint64_t>(n);
  }
  static void get(QCborValue const& c, std::string& v) {
    if (!c.isByteArray()) failType();
    v = c.toByteArray().toStdString();
  }
  static void get(QCborValue const& c, QJsonObject& v) {
    if (!c.isMap()) failType();
    v = c.toMap().toJsonObject();
  }
  template <class T>
  static void get(QCborValue const& c, std::vector<T>& v) {
    if (!c.isArray()) failType();
    for (QCborValue const item : c.toArray()) get(item, v.emplace_back());
  }
  static void get(QCborValue const& c, Revisions& v) {
    if (!c.isArray() || c.toArray().size() % 2 != 0) failType();
    QCborArray const pairs = c.toArray();
    for (qsizetype i = 0; i < pairs.size(); i += 2) {
      std::string key;
      get(pairs.at(i), key);
      get(pairs.at(i + 1), v[key]);
    }
  }
  static void get(QCborValue const& c, Digest& v) {
    if (!c.isArray() || c.toArray().size() != 2 || !c.toArray().at(0).isInteger()) failType();
    v.sum = static_cast<std::uint64_t>(c.toArray().at(0).toInteger());
    get(c.toArray().at(1), v.count);
  }
  template <class T>
  requires requires(T t, Unpacker u) { t.each(u); }
  static void get(QCborValue const& c, T& v) {
    if (!c.isMap()) failType();
    QCborMap const inner = c.toMap();
    Unpacker u{inner};
    v.each(u);
  }
  template <class T>
  void operator()(char const* name, T& v) {
    get(map.value(QLatin1String(name)), v);
  }
  /// Reads a field that earlier releases do not send, if it is there.
  template <class T>
  void optional(char const* name, T& v) {
    if (map.contains(QLatin1String(name))) (*this)(name, v);
  }
  /// Reads a field that is left out while it has its default value.
  template <class T>
  void unlessDefault(char const* name, T& v) {
    optional(name, v);
  }
};

template <std::size_t I = 0>
Message make(std::size_t kind, QCborValue const& body) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (kind != I) return make<I + 1>(kind, body);
    std::variant_alternative_t<I, Message> m;
    Unpacker::get(body, m);
    return m;
  } else {
    throw TransportError("unknown kind of message");
  }
}

}  // namespace

void Digest::replace(std::string const& key, std::uint64_t before, std::uint64_t after) {
  auto const hashOf = [&](std::uint64_t revision) {
    return revision == 0 ? 0 : core::stableHash(key + "=" + std::to_string(revision));
  };
  sum += hashOf(after) - hashOf(before);
  count += static_cast<std::uint64_t>(after > 0) - static_cast<std::uint64_t>(before > 0);
}

Digest digestOf(Revisions const& revisions) {
  Digest out;
  for (auto const& [key, revision] : revisions) out.replace(key, 0, revision);
  return out;
}

void BitSet::set(std::size_t position) {
  if (bytes_.size() <= position / 8) bytes_.resize(position / 8 + 1, '\0');
  bytes_[position / 8] = static_cast<char>(static_cast<unsigned char>(bytes_[position / 8]) | 1U << (position % 8));
}

char const* kindName(Message const& message) {
  return kinds[message.index()];
}

std::string pack(Envelope const& envelope) {
  QCborMap out;
  out.insert(QLatin1String("f"), Packer::put(envelope.from));
  out.insert(QLatin1String("r"), Packer::put(envelope.run));
  out.insert(QLatin1String("k"), QCborValue(static_cast<qint64>(envelope.message.index())));
  out.insert(QLatin1String("b"), std::visit([](auto const& m) { return Packer::put(m); }, envelope.message));
  return QCborValue(out).toCbor().toStdString();
}

Envelope unpack(std::string const& bytes) {
  QCborParserError error;
  QCborValue const root =
      QCborValue::fromCbor(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())), &error);
  if (error.error != QCborError::NoError || !root.isMap()) throw TransportError("frame is not a CBOR map");
  QCborMap const map = root.toMap();
  Envelope out;
  Unpacker u{map};
  u("f", out.from);
  u("r", out.run);
  std::uint64_t kind = 0;
  u("k", kind);
  out.message = make(kind, map.value(QLatin1String("b")));
  return out;
}

}  // namespace corkward::transport
