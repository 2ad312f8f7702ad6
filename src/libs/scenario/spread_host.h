#ifndef LIBS_SCENARIO_SPREAD_HOST_H_
#define LIBS_SCENARIO_SPREAD_HOST_H_

#include <functional>

#include "libs/config/applied_configuration.h"
#include "libs/scenario/config_checks.h"
#include "libs/scenario/fake_network.h"
#include "libs/spread/spreader.h"

namespace bilberryspool::scenario {

// The configuration in force on one node, and the spreader that delivers it,
// connected as in the program.
class SpreadHost {
 public:
  using Topology = std::function<spread::TopologyChanged()>;

  SpreadHost(FakeNetwork& network,
             Verdict& verdict,
             ConfigChecks& checks,
             spread::SpreaderOptions options,
             Topology topology);

  void Start() { Run(); }
  void Handle(const spread::SpreaderEvent& event);
  // The log of this node has committed a change, or restored a whole state.
  void OnStepCommitted(const config::Delta& delta, config::Digest from);
  void OnStateAdopted(const config::Configuration& state);

  const config::Configuration& configuration() const {
    return applied_.configuration();
  }

 private:
  void Run();
  void Execute(const spread::SpreaderAction& action);
  void ApplySteps(const spread::ApplySteps& apply);
  void ApplyFull(const spread::ApplyFull& apply);
  void Report(config::ApplyResult result);
  void NoteInForce();
  spread::ConfigPoint point() const;

  FakeNetwork& network_;
  Verdict& verdict_;
  ConfigChecks& checks_;
  NodeId self_;
  Topology topology_;
  spread::Spreader spreader_;
  config::AppliedConfiguration applied_;
  ConfigVersion noted_version_;
  TimePoint topology_due_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_SPREAD_HOST_H_
