#include "plugins/control/group_driver.h"

#include <utility>

#include "libs/groups/message_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/control/config_service.h"

namespace bilberryspool::control {

using net::SteadyNow;

namespace {

constexpr Duration kTickInterval = Milliseconds(20);
constexpr Duration kReportInterval = Milliseconds(500);
constexpr Duration kReportTimeout = Milliseconds(500);

}  // namespace

GroupDriver::GroupDriver(net::NetworkLoop& loop,
                         links::LinkClient& client,
                         ConfigService& config,
                         GroupDriverOptions options)
    : loop_(loop),
      client_(client),
      config_(config),
      options_(std::move(options)) {}

void GroupDriver::Register(links::LinkServer& server) {
  server.Register("group.status",
                  [this](const Json& params) { return OnStatus(params); });
  server.Register("group.counts",
                  [this](const Json& params) { return OnCounts(params); });
  server.Register("group.report",
                  [this](const Json& params) { return OnReport(params); });
}

void GroupDriver::Start() {
  loop_.Spawn([this] { Run(); });
}

void GroupDriver::Run() {
  while (true) {
    loop_.SleepFor(kTickInterval);
    if (!config_.leads()) {
      CloseAll();
      continue;
    }
    Reconcile();
    for (const auto& [group, controlled] : controlled_groups_) {
      controlled->Tick(SteadyNow());
    }
    BroadcastReports(SteadyNow());
  }
}

void GroupDriver::CloseAll() {
  for (const auto& [group, controlled] : controlled_groups_) {
    controlled->Close();
  }
  controlled_groups_.clear();
}

// A group that was redeclared with other ranks or another model gets a new
// controller, and with it a new lease.
void GroupDriver::Reconcile() {
  const auto& declared = config_.committed().table<config::GroupSpec>();
  std::erase_if(controlled_groups_, [&](const auto& item) {
    const auto found = declared.find(item.first);
    const bool is_present =
        found != declared.end() && found->second.spec == item.second->spec();
    if (!is_present) {
      item.second->Close();
    }
    return !is_present;
  });
  for (const auto& [group, row] : declared) {
    if (!controlled_groups_.contains(group)) {
      controlled_groups_[group] = std::make_shared<ControlledGroup>(
          loop_, client_, config_, options_, row.spec);
    }
  }
}

void GroupDriver::BroadcastReports(TimePoint now) {
  if (now < next_reports_at_) {
    return;
  }
  next_reports_at_ = now + kReportInterval;
  for (const auto& [group, controlled] : controlled_groups_) {
    const std::optional<GroupReport> report = controlled->report();
    if (!report.has_value()) {
      continue;
    }
    StoreReport(*report);
    for (const auto& [node, peer] : config_.directory().peers().peers()) {
      const auto endpoint = net::ParseEndpoint(peer.info.peer_address);
      if (!endpoint.has_value() || node == options_.self) {
        continue;
      }
      loop_.Spawn([this, endpoint, params = ToJson(*report)] {
        // Not retried: the next report replaces a lost one.
        client_.Call(*endpoint, "group.report", params, kReportTimeout);
      });
    }
  }
}

// Ignores a controller that was replaced and still sends reports.
void GroupDriver::StoreReport(const GroupReport& report) {
  const auto known = reports_.find(report.group);
  const bool is_outdated =
      known != reports_.end() && report.token < known->second.report.token;
  if (!is_outdated) {
    reports_[report.group] = {report, SteadyNow()};
  }
}

std::optional<boost::json::value> GroupDriver::OnReport(const Json& params) {
  const auto report = GroupReportFromJson(params);
  if (!report.has_value()) {
    return std::nullopt;
  }
  StoreReport(*report);
  return Json(true);
}

std::optional<boost::json::value> GroupDriver::OnCounts(const Json& params) {
  const auto counts = groups::ExpertCountsFromJson(params);
  if (!counts.has_value()) {
    return std::nullopt;
  }
  const auto found = controlled_groups_.find(counts->group);
  const bool is_controlled = found != controlled_groups_.end();
  if (is_controlled) {
    found->second->OnCounts(*counts, SteadyNow());
  }
  return Json(is_controlled);
}

std::optional<boost::json::value> GroupDriver::OnStatus(const Json& params) {
  const auto* object = params.if_object();
  const auto* target = object ? object->if_contains("target") : nullptr;
  const auto* value = object ? object->if_contains("status") : nullptr;
  const auto status = value ? groups::RankStatusFromJson(*value) : std::nullopt;
  if (target == nullptr || !target->is_string() || !status.has_value()) {
    return std::nullopt;
  }
  const auto found = controlled_groups_.find(status->group);
  const bool is_controlled = found != controlled_groups_.end();
  if (is_controlled) {
    found->second->OnStatus(TargetId(std::string(target->as_string())), *status,
                            SteadyNow());
  }
  return Json(is_controlled);
}

}  // namespace bilberryspool::control
