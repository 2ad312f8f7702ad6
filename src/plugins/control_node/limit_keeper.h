// A control node's part in keeping to the limits that targets declare.

#ifndef PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_
#define PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/declared_limits/limit_book.h"
#include "libs/declared_limits/limit_granter.h"
#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/log_rate_limiter.h"

namespace bilberryspool::control_node {

// Every control node hears of the limits from all gateways that ask it and
// divides them for itself. Belongs to the control loop.
class LimitKeeper {
 public:
  // `changed` is notified where gateways have to be told.
  explicit LimitKeeper(net::FiberSignal& changed);

  void Register(links::LinkServer& server);

  // What `gateway` heard from targets.
  void Note(const std::string& gateway,
            const std::vector<declared_limits::LimitStatement>& statements,
            TimePoint now);
  void SetGateways(std::vector<std::string> gateways, TimePoint now);
  // To be called a few times a second.
  void Tick(TimePoint now);

  const declared_limits::LimitBook& book() const { return book_; }
  const declared_limits::LimitGranter& granter() const { return granter_; }
  // Changes a few times a second at most, some time after the book does.
  std::uint64_t told_revision() const { return told_revision_; }

 private:
  void Publish(TimePoint now);
  std::optional<boost::json::value> OnGrant(const boost::json::value& params);

  net::FiberSignal& changed_;
  telemetry::Logger log_;
  telemetry::LogRateLimiter lines_;
  declared_limits::LimitBook book_;
  declared_limits::LimitGranter granter_;
  std::uint64_t told_revision_ = 0;
  TimePoint told_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_LIMIT_KEEPER_H_
