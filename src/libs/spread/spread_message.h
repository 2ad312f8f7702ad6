// What nodes tell each other of the accepted configuration. The
// configuration's own content is opaque here.

#ifndef LIBS_SPREAD_SPREAD_MESSAGE_H_
#define LIBS_SPREAD_SPREAD_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::spread {

// One accepted state of the configuration: equal versions have equal digests.
struct ConfigPoint {
  ConfigVersion version;
  std::uint64_t digest = 0;

  bool operator==(const ConfigPoint&) const = default;
};

// Leads from one accepted state to a later one.
struct DeltaStep {
  ConfigPoint from;
  ConfigPoint to;
  std::string bytes;
};

// How far a node, or a whole failure domain, has come.
struct SpreadReport {
  ConfigVersion version;        // what the reporting node itself has
  std::uint32_t nodes = 0;      // nodes that it speaks for
  std::uint32_t in_force = 0;   // those of them that have `version` or later
  std::vector<NodeId> lacking;  // a few of the others

  bool operator==(const SpreadReport&) const = default;
};

// What every message says of its sender.
struct SenderState {
  NodeId node;
  FailureDomain domain;
  ConfigPoint have;
  ConfigVersion newest_known;  // may be above `have`
  // Whether the leading control VM has vouched that `have` is the newest, and
  // how long ago.
  bool confirmed = false;
  Duration age{};
};

struct DeltaMessage {
  SenderState sender;
  std::vector<DeltaStep> steps;  // contiguous, oldest first
  bool relay = false;  // pass it on to the entries of your failure domain
};

struct FullMessage {
  SenderState sender;
  ConfigPoint at;
  std::string bytes;
  bool relay = false;
};

struct HaveMessage {
  SenderState sender;
  bool wants_newer = false;  // asks for whatever is newer
  bool wants_full = false;   // a delta did not fit: asks for the whole state
  std::vector<SpreadReport> entry_report;   // none or one
  std::vector<SpreadReport> domain_report;  // none or one
};

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREAD_MESSAGE_H_
