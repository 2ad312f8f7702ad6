// The runs of targets that have announced that they leave.
//
// Part of the state that the control replicas' log determines. A target that
// has been told that its departure is known must get no new requests, also if
// all control nodes are restarted immediately afterwards: it may serve for a
// while without announcing itself again, and gateways that have not been told
// would continue to send requests to it.
//
// Departures are final for one run. They are ordered by revision, so that those
// that no gateway can need any more are removed without a clock.
//
// Pure and deterministic.

#ifndef LIBS_TRAFFIC_DEPARTURE_REGISTRY_H_
#define LIBS_TRAFFIC_DEPARTURE_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/target_run.h"

namespace bilberryspool::traffic {

// Whether the departure of a target of this name can be recorded: the name has
// 1 to 256 printable ASCII characters. Names come unchecked from request paths.
bool IsRecordable(const TargetId& target);

class DepartureRegistry {
 public:
  // A change: the runs to add, and the revision up to which earlier departures
  // are removed.
  struct Change {
    std::vector<TargetRun> runs;
    std::uint64_t remove_up_to = 0;
  };

  // Encodes a change as one line of text without line breaks.
  static std::string Encode(const Change& change);

  // Applies an encoded change. Returns whether a run was added; malformed text
  // changes nothing.
  bool Apply(std::string_view encoded);

  bool Contains(const TargetRun& run) const { return revisions_.contains(run); }
  // The runs that were added after `revision`, in the order of their revisions.
  std::vector<TargetRun> AddedAfter(std::uint64_t revision) const;
  // Revision of the run that was added last.
  std::uint64_t revision() const { return revision_; }
  // Revision of the earliest departure on record; nothing if there is none.
  std::optional<std::uint64_t> first_revision() const;
  std::size_t size() const { return revisions_.size(); }

  // Converts the registry to one line of text and back. Import() returns false
  // and changes nothing if the text is malformed.
  std::string Export() const;
  bool Import(std::string_view text);

 private:
  void Add(const TargetRun& run, std::uint64_t revision);
  void RemoveUpTo(std::uint64_t revision);

  std::map<TargetRun, std::uint64_t> revisions_;
  std::map<std::uint64_t, TargetRun> by_revision_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_DEPARTURE_REGISTRY_H_
