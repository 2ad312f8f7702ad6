// Maps that were in force before the current one, for the operators' undo.

#ifndef LIBS_PLACEMENT_MAP_HISTORY_H_
#define LIBS_PLACEMENT_MAP_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

// Stack of at most `capacity` previous maps.
class MapHistory {
 public:
  explicit MapHistory(std::size_t capacity) : capacity_(capacity) {}

  // Must be called with the current map before it is replaced.
  void Push(ExpertMap map) {
    maps_.push_back(std::move(map));
    if (maps_.size() > capacity_) {
      maps_.pop_front();
    }
  }

  // Removes and returns the most recent previous map, so that a second undo
  // goes one map further back. The caller gives the map a new, higher version.
  std::optional<ExpertMap> Undo() {
    if (maps_.empty()) {
      return std::nullopt;
    }
    ExpertMap map = std::move(maps_.back());
    maps_.pop_back();
    return map;
  }

 private:
  std::size_t capacity_;
  std::deque<ExpertMap> maps_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_MAP_HISTORY_H_
