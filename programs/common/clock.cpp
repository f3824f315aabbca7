#include "clock.h"

#include <QDateTime>
#include <QUuid>
#include <ctime>
#include <random>

namespace corkward::programs {

namespace {

constexpr core::Milliseconds millisPerSecond = 1000;
constexpr core::Milliseconds nanosPerMilli = 1000000;

}  // namespace

core::Milliseconds now() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<core::Milliseconds>(time.tv_sec) * millisPerSecond + time.tv_nsec / nanosPerMilli;
}

std::int64_t wallClock() {
  return QDateTime::currentMSecsSinceEpoch();
}

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string randomId() {
  return QUuid::createUuid().toString(QUuid::Id128).toStdString();
}

}  // namespace corkward::programs
