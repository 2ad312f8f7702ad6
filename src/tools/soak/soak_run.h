// One soak run: a deployment of real processes under a plan of faults, with
// simulated callers, targets and operators whose observations go to a ledger.

#ifndef TOOLS_SOAK_SOAK_RUN_H_
#define TOOLS_SOAK_SOAK_RUN_H_

#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "libs/net/http_client.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/header_names.h"
#include "tools/soak/deployment.h"
#include "tools/soak/fault_plan.h"
#include "tools/soak/ledger.h"
#include "tools/soak/operator_work.h"
#include "tools/soak/soak_callers.h"
#include "tools/soak/soak_target.h"

namespace bilberryspool::soak {

struct SoakOptions {
  FaultPlanOptions plan;
  DeploymentOptions deployment;
  std::uint32_t callers = 12;
};

class SoakRun {
 public:
  SoakRun(net::NetworkLoop& loop, SoakOptions options);

  // Returns an error message if the run could not be executed, empty otherwise.
  // Blocks the calling fiber.
  std::string Execute();
  const Ledger& ledger() const { return ledger_; }
  const std::vector<FaultEvent>& plan() const { return plan_; }
  // Kills all processes that this run has started.
  void EndAll() { deployment_.processes().KillAll(); }
  // Prints the peak memory of each process, one line each.
  void PrintPeakMemory(std::ostream& out) const;

 private:
  std::string StartAll();
  std::string StartTargets();
  bool WaitUntilServing(Duration timeout);
  void Execute(const FaultEvent& fault_event);
  void Begin(const FaultEvent& fault_event);
  void Undo(const FaultEvent& fault_event);
  void BeginAtControl(const FaultEvent& fault_event);
  void UndoAtControl(const FaultEvent& fault_event);
  void BeginAtGateway(const FaultEvent& fault_event);
  void UndoAtGateway(const FaultEvent& fault_event);
  void BeginAtTarget(const FaultEvent& fault_event);
  void UndoAtTarget(const FaultEvent& fault_event);
  void ResetRepeatedly(SoakTarget& target, Duration length);
  void WatchProcesses();
  void Restart(const std::string& name);
  void RecordPeakMemory(const std::string& name);

  net::NetworkLoop& loop_;
  SoakOptions options_;
  traffic::HeaderNames dialect_;
  std::vector<FaultEvent> plan_;
  Ledger ledger_;
  Deployment deployment_;
  net::HttpClient client_;
  std::vector<std::unique_ptr<SoakTarget>> targets_;
  std::unique_ptr<SoakCallers> callers_;
  std::unique_ptr<OperatorWork> operators_;
  std::map<std::string, std::uint64_t> peak_memory_kib_;
  // Processes that are down because of a fault.
  std::set<std::string> expected_down_;
  std::uint32_t active_faults_ = 0;
  bool is_over_ = false;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_SOAK_RUN_H_
