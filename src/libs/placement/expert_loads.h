#ifndef LIBS_PLACEMENT_EXPERT_LOADS_H_
#define LIBS_PLACEMENT_EXPERT_LOADS_H_

#include <cstddef>
#include <vector>

#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

// Load of each expert, in tokens per second routed to it.
class ExpertLoads {
 public:
  ExpertLoads() = default;
  ExpertLoads(std::uint32_t layers, std::uint32_t experts)
      : layers_(layers),
        experts_(experts),
        loads_(static_cast<std::size_t>(layers) * experts) {}

  std::uint32_t layers() const { return layers_; }
  std::uint32_t experts() const { return experts_; }
  double& operator[](ExpertKey key) { return loads_[PositionOf(key)]; }
  double operator[](ExpertKey key) const { return loads_[PositionOf(key)]; }
  // By layer, then expert.
  const std::vector<double>& values() const { return loads_; }
  std::vector<double>& values() { return loads_; }

 private:
  std::size_t PositionOf(ExpertKey key) const {
    return static_cast<std::size_t>(key.layer.value()) * experts_ +
           key.expert.value();
  }

  std::uint32_t layers_ = 0;
  std::uint32_t experts_ = 0;
  std::vector<double> loads_;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_EXPERT_LOADS_H_
