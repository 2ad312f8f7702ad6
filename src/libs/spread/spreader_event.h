#ifndef LIBS_SPREAD_SPREADER_EVENT_H_
#define LIBS_SPREAD_SPREADER_EVENT_H_

#include <map>
#include <variant>
#include <vector>

#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

struct SpreaderTick {};

// This control VM has become or is no longer the leader of the replicated log.
struct LeadershipChanged {
  bool leading = false;
};

// The replicated log of this control VM has committed a step.
struct StepAccepted {
  DeltaStep step;
};

// This node has loaded a state from another source: from its disk at process
// start, or on a control VM from a snapshot of the replicated log.
struct StateAdopted {
  ConfigPoint at;
};

// The peers of this node, from the membership directory.
struct TopologyChanged {
  // Entries by failure domain: all live entries of the own domain, and a few
  // contacts in each other domain.
  std::map<FailureDomain, std::vector<NodeId>> entries;
  std::vector<NodeId> agents;   // on an entry: those that announce to it
  std::vector<NodeId> parents;  // on an agent: entries, best first
  std::vector<NodeId> control;  // the control VMs
};

struct DeltaReceived {
  DeltaMessage message;
};
struct FullReceived {
  FullMessage message;
};
struct HaveReceived {
  HaveMessage message;
};

// Result of ApplySteps or ApplyFull. Mismatching digests are detected by the
// configuration's own check, which leads to ApplyFailed.
struct Applied {
  ConfigPoint at;
};
struct ApplyFailed {};

using SpreaderEvent = std::variant<SpreaderTick,
                                   LeadershipChanged,
                                   StepAccepted,
                                   StateAdopted,
                                   TopologyChanged,
                                   DeltaReceived,
                                   FullReceived,
                                   HaveReceived,
                                   Applied,
                                   ApplyFailed>;

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREADER_EVENT_H_
