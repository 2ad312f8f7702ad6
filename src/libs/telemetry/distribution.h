#ifndef LIBS_TELEMETRY_DISTRIBUTION_H_
#define LIBS_TELEMETRY_DISTRIBUTION_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace bilberryspool::telemetry {

struct Quantile {
  double probability = 0;
  double value = 0;
};

struct DistributionSummary {
  std::uint64_t count = 0;  // since the start
  double sum = 0;           // since the start
  // Quantiles of the window; empty if it has no samples.
  std::vector<Quantile> quantiles;
};

// The distribution of a quantity, such as a latency in seconds. Thread-safe.
//
// Quantiles cover one window: over the whole life of a process, samples of
// earlier load would hide the present latency. Small windows are exact; larger
// ones are estimated in constant memory by the extended P² algorithm.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  // Non-finite samples are ignored.
  void Record(double sample);
  // Ends the current window. summary() reports the quantiles of the last ended
  // window, or of the current one if none has ended yet.
  void StartWindow();
  DistributionSummary summary() const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_DISTRIBUTION_H_
