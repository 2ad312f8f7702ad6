// The maps that were in force before, for an operator's undo.

#ifndef LIBS_PLACEMENT_MAP_HISTORY_H_
#define LIBS_PLACEMENT_MAP_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

class MapHistory {
 public:
  explicit MapHistory(std::size_t capacity) : capacity_(capacity) {}

  // To be called with the map in force before another one takes its place.
  void Push(ExpertMap map) {
    maps_.push_back(std::move(map));
    if (maps_.size() > capacity_) {
      maps_.pop_front();
    }
  }

  // The map before the present one, which is then forgotten here: a second
  // undo goes one further back. An undone map gets a new, higher version.
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
