#include "process.h"

#include "clock.h"

namespace corkward::programs {

transport::Contact contactOf(Settings const& settings, char const* role) {
  transport::Contact contact;
  contact.link = settings.link;
  contact.httpAddress = settings.http;
  contact.role = role;
  contact.zone = settings.zone;
  contact.incarnation = static_cast<std::uint64_t>(wallClock());
  return contact;
}

void selectQtEventLoop() {
  qputenv("QT_NO_GLIB", "1");
}

}  // namespace corkward::programs
