// Messages between nodes that distribute the accepted configuration. The
// content of the configuration is opaque here.

#ifndef LIBS_SPREAD_SPREAD_MESSAGE_H_
#define LIBS_SPREAD_SPREAD_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::spread {

// One accepted state of the configuration. Equal versions have equal digests.
struct ConfigPoint {
  ConfigVersion version;
  std::uint64_t digest = 0;

  bool operator==(const ConfigPoint&) const = default;
};

// The encoded difference between an accepted state and a later one.
struct DeltaStep {
  ConfigPoint from;
  ConfigPoint to;
  std::string bytes;
};

// Progress of a node and its agents, or of a whole failure domain.
struct SpreadReport {
  ConfigVersion version;        // version of the reporting node itself
  std::uint32_t nodes = 0;      // number of nodes that the report covers
  std::uint32_t in_force = 0;   // how many of them have `version` or later
  std::vector<NodeId> lacking;  // some of the others

  bool operator==(const SpreadReport&) const = default;
};

// State of the sender, part of every message.
struct SenderState {
  NodeId node;
  FailureDomain domain;
  ConfigPoint have;
  ConfigVersion newest_known;  // may be newer than `have`
  // Whether the leading control VM has confirmed that `have` is the newest
  // version, and how long ago.
  bool confirmed = false;
  Duration age{};
};

// Steps from one configuration version to a later one.
struct DeltaMessage {
  SenderState sender;
  std::vector<DeltaStep> steps;  // contiguous, oldest first
  bool relay = false;  // forward it to the entries of the own failure domain
};

// The full configuration as of `at`.
struct FullMessage {
  SenderState sender;
  ConfigPoint at;
  std::string bytes;
  bool relay = false;
};

// Tells a peer which version the sender has.
struct HaveMessage {
  SenderState sender;
  bool wants_newer = false;  // requests anything newer than `sender.have`
  bool wants_full =
      false;  // a delta could not be applied: requests a full state
  std::vector<SpreadReport> entry_report;   // at most one
  std::vector<SpreadReport> domain_report;  // at most one
};

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREAD_MESSAGE_H_
