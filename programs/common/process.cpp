#include "process.h"

#include <exception>
#include <iostream>

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

int reportError(char const* program) {
  try {
    throw;
  } catch (SettingsError const& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return static_cast<int>(DaemonExit::invalidSettings);
  } catch (std::exception const& error) {
    std::cerr << program << ": " << error.what() << "\n";
  } catch (...) {
    std::cerr << program << ": an exception of unknown type\n";
  }
  return static_cast<int>(DaemonExit::error);
}

}  // namespace corkward::programs
