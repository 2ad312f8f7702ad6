// State of a stand-in for an engine or a plain service: slots, a bounded prefix
// cache, the fencing token, and the number of runs of each request.

#ifndef TOOLS_STANDIN_ENGINE_MODEL_H_
#define TOOLS_STANDIN_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::standin {

struct EngineOptions {
  std::string model = "drafter";
  std::uint32_t slots = 8;
  Duration first_token = Milliseconds(40);
  Duration between_tokens = Milliseconds(5);
  // Fraction by which the time between tokens grows with each running stream.
  double slowdown_per_stream = 0.02;
  std::size_t cached_prefixes = 64;
  bool checks_fencing = true;
  // Age of the load in reports.
  Duration report_lag = Milliseconds(500);
};

struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  std::uint64_t tokens = 0;
};

// Counts the runs of each request by its id (the witness), so that tests can
// prove that a request ran once or did not run.
class EngineModel {
 public:
  explicit EngineModel(EngineOptions options);

  const EngineOptions& options() const { return options_; }

  // Counts the start of a run of `request`.
  void RecordRun(const RequestId& request);
  std::uint64_t runs(const RequestId& request) const;
  const std::map<RequestId, std::uint64_t>& all_runs() const { return runs_; }

  bool has_free_slot() const { return running_ < options_.slots; }
  void TakeSlot() { ++running_; }
  void FreeSlot() { --running_; }
  void Enqueue() { ++queued_; }
  void Dequeue() { --queued_; }
  void CountToken() { ++tokens_; }

  // Returns whether the prefix is cached and marks it as used; the least
  // recently used prefix is evicted.
  bool TouchPrefix(const std::string& prefix);

  // Time to the first token, and between tokens at the present load.
  Duration FirstTokenDelay(bool is_cached) const;
  Duration TokenDelay() const;

  // Accepts an order with this fencing token. Refuses it if a higher token was
  // seen before and `checks_fencing` is set.
  bool AcceptOrder(FencingToken token);

  LoadReport CurrentLoad() const;
  // The load as reported, `report_lag` old.
  LoadReport ReportedLoad(TimePoint now);

  void set_stalled(bool is_stalled) { is_stalled_ = is_stalled; }
  bool is_stalled() const { return is_stalled_; }

 private:
  struct Sample {
    TimePoint time;
    LoadReport load;
  };

  EngineOptions options_;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::uint64_t tokens_ = 0;
  bool is_stalled_ = false;
  FencingToken highest_token_;
  std::map<RequestId, std::uint64_t> runs_;
  std::deque<std::string> prefixes_;
  std::deque<Sample> samples_;
};

// The token at `position` of the answer to `prompt`. It is computed from both,
// so that a caller can check that an answer is complete and belongs to its
// request.
std::string TokenAt(const std::string& prompt, std::uint64_t position);

}  // namespace bilberryspool::standin

#endif  // TOOLS_STANDIN_ENGINE_MODEL_H_
