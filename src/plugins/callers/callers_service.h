// The callers thread of an entry: HTTP server, filters, routing and relaying.

#ifndef PLUGINS_CALLERS_CALLERS_SERVICE_H_
#define PLUGINS_CALLERS_CALLERS_SERVICE_H_

#include <atomic>
#include <memory>
#include <string>

#include "libs/rings/bounded_ring.h"
#include "libs/settings/settings.h"
#include "plugins/callers/caller_state.h"
#include "plugins/callers/entry_readiness.h"
#include "plugins/callers/filter_chain.h"
#include "plugins/control/control_feed.h"

namespace bilberryspool::callers {

// Used in the thread of its loop, except for TakeFeed().
class CallersService {
 public:
  CallersService(net::NetworkLoop& loop,
                 const settings::CommonSettings& common,
                 const settings::EntrySettings& settings,
                 std::shared_ptr<const net::LinkAuthenticator> authenticator,
                 telemetry::Registry& metrics,
                 telemetry::SpanWriter* spans);

  // Returns an error message, or an empty string on success.
  std::string Start();

  // Sets the receiver of reports for operators. To be called before Start().
  void SetReporter(std::function<void(control::CallerReport&&)> reporter) {
    state_.report = std::move(reporter);
  }

  // Hands over an update; called by the control thread. Returns false if the
  // ring is full.
  bool TakeFeed(control::ControlFeed&& feed);

  // Fails the health check, closes idle connections, and waits until all
  // requests have ended. Requests that remain at the limit get their final
  // answer.
  void Drain(Duration limit);

 private:
  void Handle(net::HttpExchange& exchange);
  void HandleHealth(net::HttpExchange& exchange);
  void HandleMetrics(net::HttpExchange& exchange);
  void PopFeeds();
  void Adopt(const control::TargetsUpdate& update);
  void Adopt(const control::RosterUpdate& update);
  void Adopt(const control::ConfigUpdate& update);
  void Adopt(const control::EntriesUpdate& update);
  void Adopt(const control::DemandUpdate& update);
  // Sends the demand of the callers of this entry to the other entries.
  void AnnounceDemand();
  // Passes the targets, and the placements that the configuration allows, to
  // the router.
  void UpdateRouting();
  // Passes the capacity of each service to the admission.
  void UpdateCapacity();
  bool is_ready();
  // Polls the holders of claims until the entry is ready.
  void PollHolders();
  // Asks one holder whether it votes on claims under the present roster.
  void PollHolder(const NodeId& holder);
  void LogReadiness();

  net::NetworkLoop& loop_;
  const settings::EntrySettings& settings_;
  telemetry::Registry& metrics_;
  CallerState state_;
  FilterChain chain_;
  net::HttpServer server_;
  rings::BoundedRing<control::ControlFeed> feeds_;
  std::map<NodeId, net::Endpoint> entries_;
  bool has_announced_demand_ = false;
  std::set<TargetId> known_targets_;
  std::map<TargetId, routing::TargetView> views_;
  EntryReadiness readiness_{EntryReadinessOptions{}};
  // Holders with a poll in progress.
  std::set<NodeId> polled_holders_;
  std::optional<MissingInput> logged_missing_;
  bool is_draining_ = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CALLERS_SERVICE_H_
