// Weighs what counters of expert picks tell by the work behind it.
//
// What can go wrong: engines count a pick of a prompt's token like one of a
// token that is written, though a prompt is read many times faster: it makes
// nine of ten counts and one seventh of the work. Taken as they are, the counts
// stand for the few requests whose long prompts were read last. It shows in
// imbalances of 1.6 to 2.0 right after maps that were planned for 1.25, and in
// one change of map after the other while demand stays as it is; the copies
// lengthen steps, and streams pause too long. Weighed by work, the counts stand
// for all requests that run.
//
// Pure.

#ifndef LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_
#define LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberryspool::placement {

struct PickWeightOptions {
  // Work of reading one token of a prompt, in that of writing one.
  double read_work = 1.0;
  // Readings by which the picks of a request and step are judged, and the part
  // of them, lowest first, that is taken for readings without a prompt: a rank
  // reads prompts in about a third of its readings.
  std::size_t window = 64;
  double decode_only_quantile = 0.3;
  // Fewer are no ground for a judgement.
  std::size_t min_readings = 8;
  // A reading that holds up to so many times the picks of what was written is
  // taken for one without a prompt: how many requests there are is known with a
  // lag.
  double tolerance = 1.5;
};

class PickWeightEstimator {
 public:
  explicit PickWeightEstimator(PickWeightOptions options) : options_(options) {}

  // The weight of each of the `picks` that a rank with `requests` made in
  // `steps`, relative to a pick of a token that is written.
  double WeightOf(double picks, std::uint64_t steps, std::uint32_t requests);

 private:
  void AddSample(double picks_per_request);

  PickWeightOptions options_;
  std::vector<double> samples_;  // picks of one request in one step; a ring
  std::size_t next_ = 0;
  double decode_picks_per_request_ = 0.0;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_PICK_WEIGHT_ESTIMATOR_H_
