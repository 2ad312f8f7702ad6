// The callers thread of an entry: HTTP server, filters, routing, relaying.

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

// Runs in its loop's thread; TakeFeed() is for the control thread.
class CallersService {
 public:
  CallersService(net::NetworkLoop& loop,
                 const settings::CommonSettings& common,
                 const settings::EntrySettings& settings,
                 std::shared_ptr<const net::LinkAuthenticator> authenticator,
                 telemetry::Registry& metrics,
                 telemetry::SpanWriter* spans);

  // Empty, or why it can't start.
  std::string Start();

  // Where reports for operators go; before Start().
  void SetReporter(std::function<void(control::CallerReport&&)> reporter) {
    state_.report = std::move(reporter);
  }

  // From the control thread. False where the ring is full.
  bool TakeFeed(control::ControlFeed&& feed);

  // Fails the health call, ends idle connections, and waits until all
  // requests have ended; those left at the limit get their final answer.
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
  // Tells the other entries what the callers of this one ask for.
  void AnnounceDemand();
  void UpdateRouting();
  void UpdateCapacity();
  bool is_ready();
  // Asks the holders of claims until the entry is ready.
  void PollHolders();
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
  // Those that are being asked whether they vote.
  std::set<NodeId> polled_holders_;
  std::optional<MissingInput> logged_missing_;
  bool is_draining_ = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CALLERS_SERVICE_H_
