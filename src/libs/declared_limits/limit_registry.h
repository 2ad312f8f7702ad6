// Divides the limits that targets declare among gateways, at a control node.
//
// A gateway learns of a target's limit only from answers to its own requests
// and doesn't know what the others send. Each limit is therefore divided evenly
// among a few gateways. If it were divided among all of them, each part would
// be less than one request in the period for which the limit is meant, and the
// bursts of all gateways would add up to more than the limit. All control nodes
// rank the gateways in the same way. If they know different gateways, a gateway
// uses the smallest share reported to it, so that the sum never exceeds the
// limit.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_DECLARED_LIMITS_LIMIT_REGISTRY_H_
#define LIBS_DECLARED_LIMITS_LIMIT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/declared_limits/declared_limit.h"

namespace bilberryspool::declared_limits {

struct LimitRegistryOptions {
  // A limit is erased if no gateway has received it for this long.
  Duration retention = Seconds(600);
  // A limit is divided among one gateway per request per second, plus this
  // number.
  double extra_holders = 3.0;
  // Minimum total rate per target, in requests per second: only answers of the
  // target show that it accepts more again.
  double min_per_second = 0.25;
  // Bounds memory; the limit received longest ago is evicted first.
  std::size_t max_entries = 10'000;
};

class LimitRegistry {
 public:
  explicit LimitRegistry(LimitRegistryOptions options) : options_(options) {}

  // Records a statement unless a newer one on the target is known. Returns
  // whether the limit has changed.
  bool Note(const LimitStatement& statement, TimePoint now);
  // Sets the names of all known gateways.
  void SetGateways(std::vector<std::string> gateways);
  // Erases limits that were not received again.
  void Tick(TimePoint now);

  // All declared limits, each with the share of the gateway, which may be zero.
  std::vector<LimitShare> SharesOf(const std::string& gateway) const;
  // The limit declared by this run of the target; nothing if it declares none
  // or is not known.
  std::optional<double> LimitOf(const TargetRun& run) const;
  // Increases with each change of SharesOf().
  std::uint64_t revision() const { return revision_; }
  // Number of targets that declare a limit.
  std::size_t size() const;

 private:
  struct Entry {
    Incarnation incarnation;
    // Nothing if no limit is declared.
    std::optional<double> per_second;
    TimePoint received_at;
    // Gateways with a share of the limit.
    std::vector<std::string> holders;
  };

  // Chooses the gateways that share the limit.
  void Divide(const TargetId& target, Entry& entry) const;
  // Evicts one entry if the maximum number is reached.
  void MakeRoom();

  LimitRegistryOptions options_;
  std::vector<std::string> gateways_;
  std::map<TargetId, Entry> entries_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_REGISTRY_H_
