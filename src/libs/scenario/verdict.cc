#include "libs/scenario/verdict.h"

#include <iomanip>
#include <sstream>

namespace bilberryspool::scenario {
namespace {

constexpr int kTimeWidth = 11;
constexpr int kNodeWidth = 9;

}  // namespace

void Verdict::Note(const NodeId& node, const std::string& event) {
  std::ostringstream line;
  line << std::fixed << std::setprecision(4) << std::setw(kTimeWidth)
       << ToSeconds(clock_().time_since_epoch()) << "  " << std::left
       << std::setw(kNodeWidth) << node.value() << ' ' << event;
  events_.push_back(line.str());
  if (events_.size() > kKeptEvents) {
    events_.pop_front();
  }
  if (listener_) {
    listener_(events_.back());
  }
}

void Verdict::Check(bool holds, const std::string& what) {
  if (holds || failed()) {
    return;
  }
  failure_ = what;
  Note(NodeId("FAILED"), what);
}

}  // namespace bilberryspool::scenario
