// A gateway's part in keeping requests that end targets from the targets.

#ifndef PLUGINS_GATEWAY_QUARANTINE_GUARD_H_
#define PLUGINS_GATEWAY_QUARANTINE_GUARD_H_

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/quarantine/quarantine_view.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::gateway {

// Belongs to the gateway's loop.
class QuarantineGuard {
 public:
  // Ways to the control nodes.
  struct Links {
    // Tells all that can be reached; does not wait for them.
    std::function<void(const std::string& method,
                       const boost::json::value& params)>
        call_all;
    // Asks one, the same for the same key at all gateways that reach the same
    // nodes; nothing where none answers. Suspends the fiber.
    std::function<std::optional<boost::json::value>(
        const std::string& key,
        const std::string& method,
        const boost::json::value& params)>
        call_one;
  };

  explicit QuarantineGuard(net::NetworkLoop& loop);

  void Connect(Links links) { links_ = std::move(links); }

  void OnEnd(const quarantine::EndObserved& end, TimePoint now);
  void OnCompleted(const quarantine::RequestFingerprint& request,
                   TimePoint now);
  void OnTrialOver(const quarantine::RequestFingerprint& request,
                   const std::string& requester);
  quarantine::Judgement Judge(const quarantine::RequestFingerprint& request,
                              TimePoint now) const {
    return view_.Judge(request, now);
  }
  // Leave for one run. Suspends the fiber.
  bool TryTrial(const quarantine::RequestFingerprint& request,
                const std::string& requester);

  // What a control node tells.
  void Adopt(const std::string& source,
             const std::vector<quarantine::QuarantineRecord>& records,
             bool is_whole,
             TimePoint now);
  void SetReachable(const std::string& source, bool is_reachable) {
    view_.SetReachable(source, is_reachable);
  }
  // A control node has started anew and knows nothing.
  void ReportTerminationsAgain(TimePoint now);
  void Tick(TimePoint now) { view_.Tick(now); }

 private:
  // Tells the control nodes in a moment, with what else comes until then.
  void Report(quarantine::Observation observation);

  net::NetworkLoop& loop_;
  quarantine::QuarantineView view_;
  Links links_;
  std::vector<quarantine::Observation> unreported_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_QUARANTINE_GUARD_H_
