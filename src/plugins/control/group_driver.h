// Controls the declared groups while this control replica leads.

#ifndef PLUGINS_CONTROL_GROUP_DRIVER_H_
#define PLUGINS_CONTROL_GROUP_DRIVER_H_

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <optional>

#include "libs/links/link_server.h"
#include "plugins/control/controlled_group.h"

namespace bilberryspool::control {

// Runs in the control loop.
class GroupDriver {
 public:
  GroupDriver(net::NetworkLoop& loop,
              links::LinkClient& client,
              ConfigService& config,
              GroupDriverOptions options);

  // Registers the methods for rank statuses, expert counts and group reports.
  void Register(links::LinkServer& server);
  void Start();

  // The latest report of each group's controller, on this entry or another.
  const std::map<GroupId, ReceivedGroupReport>& reports() const {
    return reports_;
  }

 private:
  using Json = boost::json::value;

  void Run();
  // Adds and removes controllers to match the declared groups.
  void Reconcile();
  void CloseAll();
  // Sends the reports of the groups controlled here to all entries.
  void BroadcastReports(TimePoint now);
  void StoreReport(const GroupReport& report);
  std::optional<Json> OnReport(const Json& params);
  std::optional<Json> OnStatus(const Json& params);
  std::optional<Json> OnCounts(const Json& params);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  ConfigService& config_;
  GroupDriverOptions options_;
  std::map<GroupId, std::shared_ptr<ControlledGroup>> controlled_groups_;
  std::map<GroupId, ReceivedGroupReport> reports_;
  TimePoint next_reports_at_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_GROUP_DRIVER_H_
