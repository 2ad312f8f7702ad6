#ifndef LIBS_SPREAD_SPREADER_ACTION_H_
#define LIBS_SPREAD_SPREADER_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

struct SendDelta {
  NodeId to;
  DeltaMessage message;
};

// The caller fills in `at` and `bytes` with the state in force on this node, so
// that the state is only encoded when it is needed.
struct SendFull {
  NodeId to;
  FullMessage message;
};

struct SendHave {
  NodeId to;
  HaveMessage message;
};

// Apply the steps atomically and in order to the state in force, then report
// Applied or ApplyFailed.
struct ApplySteps {
  std::vector<DeltaStep> steps;
};

// Replace the state in force, then report Applied or ApplyFailed.
struct ApplyFull {
  ConfigPoint at;
  std::string bytes;
};

// Two nodes have the same version with different content, because of a software
// or memory fault. Reported to the operator; nothing is applied.
struct ReportDivergence {
  NodeId other;
  ConfigPoint here;
  ConfigPoint there;
};

using SpreaderAction = std::variant<SendDelta,
                                    SendFull,
                                    SendHave,
                                    ApplySteps,
                                    ApplyFull,
                                    ReportDivergence>;

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREADER_ACTION_H_
