#include "libs/routing/affinity_hints.h"

#include <iterator>

namespace bilberryspool::routing {

AffinityHints::AffinityHints(std::size_t capacity, Duration lifetime)
    : capacity_(capacity), lifetime_(lifetime) {}

void AffinityHints::Add(const TargetId& target,
                        std::uint64_t prefix,
                        TimePoint now) {
  Remove(target, prefix);
  order_.push_back(Hint{target, prefix, now});
  targets_[target][prefix] = std::prev(order_.end());
  if (order_.size() > capacity_) {
    Erase(order_.begin());
  }
}

void AffinityHints::Remove(const TargetId& target, std::uint64_t prefix) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  const auto hint = found->second.find(prefix);
  if (hint != found->second.end()) {
    Erase(hint->second);
  }
}

void AffinityHints::Forget(const TargetId& target) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  for (const auto& [prefix, hint] : found->second) {
    order_.erase(hint);
  }
  targets_.erase(found);
}

double AffinityHints::CachedShare(const TargetId& target,
                                  const std::vector<std::uint64_t>& prefixes,
                                  TimePoint now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end() || prefixes.empty()) {
    return 0.0;
  }
  std::size_t held = 0;
  for (const std::uint64_t prefix : prefixes) {
    const auto hint = found->second.find(prefix);
    if (hint == found->second.end() || now - hint->second->since > lifetime_) {
      break;
    }
    ++held;
  }
  return static_cast<double>(held) / static_cast<double>(prefixes.size());
}

void AffinityHints::Erase(Order::iterator hint) {
  const auto found = targets_.find(hint->target);
  found->second.erase(hint->prefix);
  if (found->second.empty()) {
    targets_.erase(found);
  }
  order_.erase(hint);
}

}  // namespace bilberryspool::routing
