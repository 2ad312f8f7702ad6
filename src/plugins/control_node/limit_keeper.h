// A control node's part in keeping to the limits that targets declare.

#ifndef PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_
#define PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_

#include <string>
#include <vector>

#include "libs/declared_limits/limit_book.h"
#include "libs/net/fiber_signal.h"
#include "libs/telemetry/line_budget.h"
#include "libs/telemetry/log.h"

namespace bilberryspool::control_node {

// Every control node hears of the limits from all gateways that ask it and
// divides them for itself. Belongs to the control loop.
class LimitKeeper {
 public:
  // `changed` is notified where gateways have to be told.
  explicit LimitKeeper(net::FiberSignal& changed);

  // What `gateway` heard from targets.
  void Note(const std::string& gateway,
            const std::vector<declared_limits::LimitStatement>& statements,
            TimePoint now);
  void SetGateways(std::vector<std::string> gateways);
  void Tick(TimePoint now) { book_.Tick(now); }

  const declared_limits::LimitBook& book() const { return book_; }

 private:
  net::FiberSignal& changed_;
  telemetry::Logger log_;
  telemetry::LineBudget lines_;
  declared_limits::LimitBook book_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_
