#include "tools/placement_bench/load_model.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::bench {
namespace {

constexpr double kDaySeconds = 86400;
constexpr double kPi = 3.14159265358979;
constexpr std::uint32_t kTopics = 5;
constexpr double kSkewExponent = 0.8;
constexpr double kNoise = 0.05;

}  // namespace

const char* NameOf(Drift drift) {
  switch (drift) {
    case Drift::kDaily:
      return "daily";
    case Drift::kProgrammes:
      return "programmes";
    case Drift::kJumps:
      return "jumps";
    case Drift::kWander:
      return "wander";
  }
  return "";
}

LoadModel::LoadModel(Drift drift,
                     std::uint32_t layers,
                     std::uint32_t experts,
                     std::uint64_t seed)
    : drift_(drift), experts_(experts), random_(seed), loads_(layers, experts) {
  std::vector<std::uint32_t> order(experts);
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    for (std::uint32_t i = 0; i < experts; ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random_.engine());
    for (std::uint32_t i = 0; i < experts; ++i) {
      base_.push_back(std::pow(order[i] + 1.0, -kSkewExponent));
      phase_.push_back(random_.Fraction());
      amplitude_.push_back(1.2 * random_.Fraction());
      random_walk_.push_back(0);
      topic_.push_back(static_cast<std::uint32_t>(random_.Below(kTopics)));
    }
  }
}

// Swaps the popularity of a few pairs of experts.
void LoadModel::Jump(std::size_t layer) {
  const std::size_t first = layer * experts_;
  for (int i = 0; i < 6; ++i) {
    const std::size_t one = first + random_.Below(experts_);
    const std::size_t other = first + random_.Below(experts_);
    std::swap(base_[one], base_[other]);
  }
}

double LoadModel::Factor(std::size_t expert, Duration time) const {
  const double day = ToSeconds(time) / kDaySeconds;
  switch (drift_) {
    case Drift::kDaily:
      return std::exp(amplitude_[expert] *
                      std::sin(2 * kPi * (day + phase_[expert])));
    case Drift::kProgrammes: {
      const auto hour = static_cast<std::uint64_t>(day * 24);
      const std::uint64_t slot = (hour % 24) / 2;
      const bool is_topic_active =
          (slot * 7 + slot / 3) % kTopics == topic_[expert];
      return is_topic_active ? 3 : 1;
    }
    case Drift::kJumps:
      return 1;
    case Drift::kWander:
      return std::exp(random_walk_[expert]);
  }
  return 1;
}

const placement::ExpertLoads& LoadModel::Advance(Duration time, Duration step) {
  const double hours = ToSeconds(step) / 3600;
  std::normal_distribution<double> normal;
  for (std::size_t layer = 0; layer < loads_.layers(); ++layer) {
    const double jumps_per_hour = drift_ == Drift::kJumps ? 0.25 : 0.02;
    if (random_.Chance(jumps_per_hour * hours)) {
      Jump(layer);
    }
  }
  for (std::size_t i = 0; i < base_.size(); ++i) {
    random_walk_[i] = random_walk_[i] * (1 - 0.02 * hours) +
                      0.15 * std::sqrt(hours) * normal(random_.engine());
    const double noise = std::exp(kNoise * normal(random_.engine()));
    loads_.values()[i] = base_[i] * Factor(i, time) * noise;
  }
  return loads_;
}

double LoadModel::UtilizationAt(Duration time) {
  const double hour = std::fmod(ToSeconds(time) / 3600, 24);
  return 0.55 + 0.4 * std::exp(-std::pow((hour - 19) / 3, 2));
}

}  // namespace bilberryspool::bench
