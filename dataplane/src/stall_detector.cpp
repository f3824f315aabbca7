#include <corkward/dataplane/stall_detector.h>

namespace corkward::dataplane {

bool StallDetector::onRejected(Milliseconds now, bool couldBeSent) {
  if (!couldBeSent) {
    since_ = notStalled;
    return false;
  }
  if (since_ == notStalled) since_ = now;
  if (now - since_ <= limit) return false;
  since_ = now;
  return true;
}

}  // namespace corkward::dataplane
