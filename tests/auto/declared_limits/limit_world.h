// Simulates gateways and control nodes on the pure state machines, with targets
// that each declare a limit, changes of the limit, and faults.

#ifndef AUTO_DECLARED_LIMITS_LIMIT_WORLD_H_
#define AUTO_DECLARED_LIMITS_LIMIT_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/declared_limits/grant_planner.h"
#include "libs/declared_limits/limit_accounts.h"
#include "libs/declared_limits/limit_granter.h"
#include "libs/declared_limits/limit_registry.h"

namespace bilberryspool::declared_limits {

struct LimitWorldOptions {
  std::size_t gateways = 7;
  std::size_t controls = 3;
  std::size_t targets = 1;
  double limit = 1.0;
  // Whether the service has other targets, without a limit.
  bool has_others = false;
  // Requests per second for the targets, over all gateways.
  double demand = 20.0;
  // Part of the demand that arrives at the first gateway; the rest is spread
  // evenly.
  double skew = 0.0;
  // Probability per second of each fault.
  double gateway_restarts = 0.0;
  double control_restarts = 0.0;
  double disconnects = 0.0;
  // Probability that a grant request to the first control node is lost.
  double lost_grant_requests = 0.0;
  // Maximum factor by which the limit changes, up or down; 1: never.
  double changes = 1.0;
  Duration length = Seconds(40);
};

struct LimitWorldResult {
  // Maximum excess of the arrivals within 4 s over what is allowed, from
  // gateways that count. Not positive if the limit was never exceeded.
  double max_excess = -1e9;
  // Arrivals after the first settling time, as a fraction of all limits.
  double used = 0.0;
  // Requests after that time that could be sent to no target, as a fraction of
  // all.
  double refused = 0.0;
};

class LimitWorld {
 public:
  LimitWorld(LimitWorldOptions options, std::uint64_t seed);
  LimitWorldResult Run();

 private:
  struct Gateway {
    std::unique_ptr<LimitAccounts> accounts;
    std::unique_ptr<GrantPlanner> planner;
    bool is_disconnected = false;
    TimePoint last_fault_ended_at;
    std::optional<TimePoint> limit_received_at;
    std::map<std::size_t, std::uint64_t> revisions;
  };
  struct Arrival {
    TimePoint at;
    std::size_t target = 0;
    bool counts = false;
  };
  struct Declared {
    TimePoint from;
    double per_second = 0.0;
  };

  void After(Duration delay, std::function<void()> event);
  Duration Delay();
  bool Occurs(double per_second);
  std::string NameOf(std::size_t gateway) const;
  void Traffic();
  static TargetRun RunOf(std::size_t target);
  // A request arrives at the gateway.
  void Arrive(std::size_t gateway);
  void AskForGrants(std::size_t gateway, std::uint32_t wanted);
  // Sends the request to a target that may take it; refuses it if there is
  // none.
  void Choose(std::size_t gateway);
  void Send(std::size_t gateway, std::size_t target);
  // One watch request of a gateway to a control node, which is answered when
  // there is an update.
  void Watch(std::size_t gateway, std::size_t control);
  void Answer(std::size_t gateway, std::size_t control, TimePoint limit);
  void InjectFaults();
  void SetGatewayNames(std::size_t control);
  LimitWorldResult Judge() const;

  LimitWorldOptions options_;
  Random random_;
  TimePoint now_;
  TimePoint begin_;
  TimePoint end_;
  std::multimap<TimePoint, std::function<void()>> events_;
  struct Control {
    LimitRegistry registry{LimitRegistryOptions{}};
    LimitGranter granter{LimitGranterOptions{}};
  };
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<Gateway> gateways_;
  std::vector<Arrival> arrivals_;
  std::vector<Declared> declared_;
  double requests_ = 0.0;
  double refused_ = 0.0;
};

}  // namespace bilberryspool::declared_limits

#endif  // AUTO_DECLARED_LIMITS_LIMIT_WORLD_H_
