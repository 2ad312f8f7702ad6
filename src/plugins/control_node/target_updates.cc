#include "plugins/control_node/target_updates.h"

#include "libs/traffic/target_codec.h"

namespace bilberryspool::control_node {

TargetUpdates::Update TargetUpdates::ChangesSince(
    const traffic::TargetRegistry& registry,
    std::uint64_t from,
    Duration freshness,
    TimePoint now) {
  const bool is_behind = revision_ != registry.revision();
  if (is_behind && (from >= revision_ || now - taken_at_ > freshness)) {
    revision_ = registry.revision();
    taken_at_ = now;
    updates_.clear();
  }
  const auto [update, is_new] = updates_.try_emplace(from);
  if (is_new) {
    update->second = traffic::PackTargets(registry.ChangedSince(from));
  }
  return {revision_, update->second};
}

}  // namespace bilberryspool::control_node
