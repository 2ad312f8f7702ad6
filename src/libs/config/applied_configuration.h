// The configuration that is in force on one node.
//
// Deltas may arrive late, twice, out of order and from several peers, some of
// which are behind. The version in force never decreases: an older version
// never replaces a newer one. A state that doesn't match its digest is reported
// to the caller, which then requests the full state.

#ifndef LIBS_CONFIG_APPLIED_CONFIGURATION_H_
#define LIBS_CONFIG_APPLIED_CONFIGURATION_H_

#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/config/delta.h"

namespace bilberryspool::config {

enum class ApplyResult {
  // The update is now in force.
  kApplied,
  // The node already has this version or a newer one.
  kStale,
  // The delta starts at a version that this node doesn't have: request a delta
  // from the current version.
  kGap,
  // The digests differ: request the full state.
  kDiverged,
  // Older than a version known to have been in force; see RaiseMinVersion().
  kBelowMinVersion,
};

// Holds the configuration in force and applies deltas and full states to it.
class AppliedConfiguration {
 public:
  // Starts empty at version 0, which means "not known yet".
  AppliedConfiguration() = default;

  // Reports a version that this node, or the peers it served, had in force
  // before; it is read from the data folder after a restart or reported by
  // peers and agents. Older versions are not applied from then on; the node
  // keeps its configuration until one that is new enough arrives.
  void RaiseMinVersion(ConfigVersion version);

  ApplyResult Apply(const Delta& delta);

  // Replaces the configuration with a full state, regardless of how many
  // versions were missed.
  ApplyResult Replace(const Configuration& full);

  const Configuration& configuration() const { return configuration_; }
  ConfigVersion version() const { return configuration_.version(); }
  ConfigVersion min_version() const { return min_version_; }
  // True after a digest mismatch, until a full state has been applied.
  bool diverged() const { return diverged_; }

 private:
  void SetConfiguration(Configuration next);

  Configuration configuration_;
  ConfigVersion min_version_;
  bool diverged_ = false;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_APPLIED_CONFIGURATION_H_
