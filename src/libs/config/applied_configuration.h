// The configuration as it is in force on one node.
//
// Deltas arrive late, twice, out of order and from several peers, some of which
// are behind. What is in force here only moves forward: an older version never
// replaces a newer one, and a state that doesn't match its digest is noticed
// and asked for anew.

#ifndef LIBS_CONFIG_APPLIED_CONFIGURATION_H_
#define LIBS_CONFIG_APPLIED_CONFIGURATION_H_

#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/config/delta.h"

namespace bilberryspool::config {

enum class ApplyResult {
  // In force now.
  kApplied,
  // This node has it, or a newer one.
  kStale,
  // It builds on a version that this node doesn't have: ask for a delta from
  // the present version.
  kGap,
  // The digests differ: ask for the full state.
  kDiverged,
  // Older than a version known to have been in force (see RaiseMinVersion).
  kBelowMinVersion,
};

class AppliedConfiguration {
 public:
  // Starts with nothing, version 0, which stands for "not known yet".
  AppliedConfiguration() = default;

  // Tells of a version that this node, or the peers it served, had in force
  // before: from its data folder after a restart, or from what peers and agents
  // say. Nothing older takes force; until then the node keeps what it has.
  void RaiseMinVersion(ConfigVersion version);

  ApplyResult Apply(const Delta& delta);

  // Takes a full state, however many versions were missed.
  ApplyResult Replace(const Configuration& full);

  const Configuration& configuration() const { return configuration_; }
  ConfigVersion version() const { return configuration_.version(); }
  ConfigVersion min_version() const { return min_version_; }
  // True from a digest that differed until a full state came.
  bool diverged() const { return diverged_; }

 private:
  void SetConfiguration(Configuration next);

  Configuration configuration_;
  ConfigVersion min_version_;
  bool diverged_ = false;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_APPLIED_CONFIGURATION_H_
