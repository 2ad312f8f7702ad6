// A control node's division of the limits that targets declare.
//
// Each gateway hears a target's limit in its own answers alone, and none knows
// what the others send. So a control node divides each limit among a few
// gateways, evenly: among all of them, one part each would be less than a
// request in the time for which the limit is meant, and the requests that each
// may send at once would add up to more than the limit. All control nodes rank
// the gateways alike; where they know different gateways, a gateway goes by the
// smallest share that it is told, so that the sum never exceeds the limit.
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
  // A limit that nobody has heard for so long is forgotten.
  Duration retention = Seconds(600);
  // Gateways beside those that the limit itself would give one request a
  // second each.
  double extra_holders = 3.0;
  // Requests a second that a target gets at least in all: only its answers
  // tell that it takes more again.
  double min_per_second = 0.25;
  // Bounds memory; what was heard longest ago goes first.
  std::size_t max_entries = 10'000;
};

class LimitRegistry {
 public:
  explicit LimitRegistry(LimitRegistryOptions options) : options_(options) {}

  // The newest statement on a target counts. Returns whether that changed its
  // limit.
  bool Note(const LimitStatement& statement, TimePoint now);
  // All gateways that are known.
  void SetGateways(std::vector<std::string> gateways);
  void Tick(TimePoint now);

  // Every limit that is declared, with the share of the gateway, which may be
  // none.
  std::vector<LimitShare> SharesOf(const std::string& gateway) const;
  // What that start of the target declares; nothing where it declares none, or
  // is not known.
  std::optional<double> LimitOf(const TargetRun& run) const;
  // Grows with each change of SharesOf().
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const;

 private:
  struct Entry {
    Incarnation incarnation;
    // Nothing: declares no limit.
    std::optional<double> per_second;
    TimePoint received_at;
    // Gateways that have a share.
    std::vector<std::string> holders;
  };

  void Divide(const TargetId& target, Entry& entry) const;
  void MakeRoom();

  LimitRegistryOptions options_;
  std::vector<std::string> gateways_;
  std::map<TargetId, Entry> entries_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_REGISTRY_H_
