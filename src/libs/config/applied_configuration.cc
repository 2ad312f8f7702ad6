#include "libs/config/applied_configuration.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/base/check.h"

namespace bilberryspool::config {
void AppliedConfiguration::RaiseMinVersion(ConfigVersion version) {
  min_version_ = std::max(min_version_, version);
}

ApplyResult AppliedConfiguration::Apply(const Delta& delta) {
  if (delta.to <= version()) {
    return ApplyResult::kStale;
  }
  if (delta.to < min_version_) {
    return ApplyResult::kBelowMinVersion;
  }
  if (delta.from != version()) {
    return ApplyResult::kGap;
  }
  if (diverged_) {
    return ApplyResult::kDiverged;
  }
  std::vector<ObjectUpdate> undo;
  for (const ObjectUpdate& update : delta.updates) {
    undo.push_back(configuration_.Apply(update));
  }
  configuration_.set_version(delta.to);
  if (configuration_.digest() == delta.digest) {
    return ApplyResult::kApplied;
  }
  configuration_.set_version(delta.from);
  for (auto update = undo.rbegin(); update != undo.rend(); ++update) {
    configuration_.Apply(*update);
  }
  diverged_ = true;
  return ApplyResult::kDiverged;
}

ApplyResult AppliedConfiguration::Replace(const Configuration& full) {
#if !defined(BILBERRYSPOOL_MUTATION_APPLY_OLD_VERSION)
  if (full.version() < version()) {
    return ApplyResult::kStale;
  }
  if (full.version() < min_version_) {
    return ApplyResult::kBelowMinVersion;
  }
#endif
  if (full.version() == version() && !diverged_) {
    diverged_ = full.digest() != configuration_.digest();
    return diverged_ ? ApplyResult::kDiverged : ApplyResult::kStale;
  }
  SetConfiguration(full);
  return ApplyResult::kApplied;
}

void AppliedConfiguration::SetConfiguration(Configuration next) {
  BILBERRYSPOOL_INVARIANT(next.version() >= version(),
                          "the version in force must not decrease");
  BILBERRYSPOOL_INVARIANT(
      next.version() >= min_version_,
      "a version below the minimum version must not be applied");
  configuration_ = std::move(next);
  diverged_ = false;
}

}  // namespace bilberryspool::config
