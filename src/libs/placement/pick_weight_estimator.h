// Weights counts of expert picks (tokens routed to an expert) by the work that
// they stand for.
//
// Engines count a pick by a prompt token like a pick by a generated token,
// although prefill processes a token many times faster than decode: prefill
// makes up nine tenths of the counts and one seventh of the work. Unweighted
// counts represent the few requests whose long prompts were processed last.
// The result is an imbalance of 1.6 to 2.0 right after maps planned for 1.25,
// and frequent map changes under constant demand, whose copies lengthen steps
// and make streams pause too long. Weighted counts represent all running
// requests.
//
// Performs no I/O; depends only on its inputs.

#ifndef LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_
#define LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberryspool::placement {

struct PickWeightOptions {
  // Work of processing one prompt token, relative to generating one token.
  double read_work = 1.0;
  // Number of recent readings from which the decode picks per request and step
  // are estimated, and the quantile used as the estimate. About a third of a
  // rank's readings contain prefill, so a low quantile stands for decode only.
  std::size_t window = 64;
  double decode_only_quantile = 0.3;
  // With fewer readings all picks get weight 1.
  std::size_t min_readings = 8;
  // A reading with up to this multiple of the estimated decode picks counts as
  // one without prefill, because the number of requests is known with a lag.
  double tolerance = 1.5;
};

// Estimates the share of prefill in the picks of each reading.
class PickWeightEstimator {
 public:
  explicit PickWeightEstimator(PickWeightOptions options) : options_(options) {}

  // Weight of each of the `picks` that a rank with `requests` in progress made
  // in `steps`, relative to a pick by a generated token.
  double WeightOf(double picks, std::uint64_t steps, std::uint32_t requests);

 private:
  void AddSample(double picks_per_request);

  PickWeightOptions options_;
  std::vector<double> samples_;  // picks per request and step; ring buffer
  std::size_t next_ = 0;
  double decode_picks_per_request_ = 0.0;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_
