// The gateway's side of the quarantine, which keeps requests that terminate
// targets away from the targets.

#ifndef PLUGINS_GATEWAY_QUARANTINE_GUARD_H_
#define PLUGINS_GATEWAY_QUARANTINE_GUARD_H_

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/quarantine/quarantine_view.h"
#include "libs/quarantine/recent_requests.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::gateway {

// Used in the gateway's loop only.
class QuarantineGuard {
 public:
  // Calls to the control nodes.
  struct Links {
    // Calls all reachable control nodes and does not wait for them.
    std::function<void(const std::string& method,
                       const boost::json::value& params)>
        call_all;
    // Calls one control node, the same for the same key at all gateways that
    // reach the same nodes. Returns nothing if none answers. Suspends the
    // fiber.
    std::function<std::optional<boost::json::value>(
        const std::string& key,
        const std::string& method,
        const boost::json::value& params)>
        call_one;
  };

  explicit QuarantineGuard(net::NetworkLoop& loop);

  void Connect(Links links) { links_ = std::move(links); }

  // A connection broke while its target ran the request. Returns whether the
  // request is suspected to terminate targets: one is known to have terminated
  // under it or under one of its prompt parts, or an earlier connection broke
  // as well.
  bool OnConnectionBroken(
      const quarantine::RequestFingerprint& request,
      const std::vector<quarantine::RequestFingerprint>& parts,
      TimePoint now);
  // A target terminated while it ran the request, or one with the prompt part.
  void OnTermination(const quarantine::TerminationObserved& end, TimePoint now);
  void OnCompleted(const quarantine::RequestFingerprint& request,
                   TimePoint now);
  // An answer with the prompt part that began at `began_at` was completed, or
  // has gone on for a while.
  void OnPartAnswered(const quarantine::RequestFingerprint& part,
                      TimePoint began_at,
                      TimePoint now);
  // The run for which TryTrial() gave permission to `requester` is over.
  void OnTrialOver(const quarantine::RequestFingerprint& request,
                   const std::string& requester);
  // Whether the request may be sent now.
  quarantine::Judgement Judge(const quarantine::RequestFingerprint& request,
                              TimePoint now) const {
    return view_.Judge(request, now);
  }
  // Requests permission for a single run. Suspends the fiber.
  bool TryTrial(const quarantine::RequestFingerprint& request,
                const std::string& requester);

  // Applies the records that the control node `source` reports.
  void Adopt(const std::string& source,
             const std::vector<quarantine::QuarantineRecord>& records,
             bool is_whole,
             TimePoint now);
  void SetReachable(const std::string& source, bool is_reachable) {
    view_.SetReachable(source, is_reachable);
  }
  // Reports the terminations seen here again, for a control node that has
  // restarted and lost its state.
  void ReportTerminationsAgain(TimePoint now);
  void Tick(TimePoint now) { view_.Tick(now); }

 private:
  // Sends the observation to the control nodes after kReportDelay, together
  // with those that follow until then.
  void Report(quarantine::Observation observation);

  net::NetworkLoop& loop_;
  quarantine::QuarantineView view_;
  quarantine::RecentRequests broken_;
  Links links_;
  std::vector<quarantine::Observation> unreported_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_QUARANTINE_GUARD_H_
