#ifndef LIBS_ROUTING_AFFINITY_HINTS_H_
#define LIBS_ROUTING_AFFINITY_HINTS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::routing {

// Records which targets are assumed to have which prompt prefixes in their
// cache.
//
// Memory is bounded: at most `capacity` hints are kept and the oldest are
// dropped first. A hint expires after `lifetime`, because eviction events may
// get lost.
class AffinityHints {
 public:
  AffinityHints(std::size_t capacity, Duration lifetime);
  AffinityHints(AffinityHints&&) = default;
  AffinityHints& operator=(AffinityHints&&) = default;

  void Add(const TargetId& target, std::uint64_t prefix, TimePoint now);
  void Remove(const TargetId& target, std::uint64_t prefix);
  // Drops all hints of a target that was removed or has restarted.
  void Forget(const TargetId& target);

  // Share of `prefixes` (ordered from the shortest), in [0, 1], that the target
  // has cached without a gap from the first one on.
  double CachedShare(const TargetId& target,
                     const std::vector<std::uint64_t>& prefixes,
                     TimePoint now) const;

  std::size_t size() const { return order_.size(); }

 private:
  struct Hint {
    TargetId target;
    std::uint64_t prefix = 0;
    TimePoint since;
  };
  using Order = std::list<Hint>;
  using PrefixIndex = std::unordered_map<std::uint64_t, Order::iterator>;

  void Erase(Order::iterator hint);

  std::size_t capacity_;
  Duration lifetime_;
  // Ordered from the oldest to the newest hint.
  Order order_;
  std::unordered_map<TargetId, PrefixIndex> targets_;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_AFFINITY_HINTS_H_
