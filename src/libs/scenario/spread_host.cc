#include "libs/scenario/spread_host.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/config/codec.h"

namespace bilberryspool::scenario {
namespace {

constexpr Duration kMaxPause = Milliseconds(100);
constexpr Duration kTopologyInterval = Milliseconds(500);

bool IsInForce(config::ApplyResult result) {
  return result == config::ApplyResult::kApplied ||
         result == config::ApplyResult::kStale;
}

}  // namespace

SpreadHost::SpreadHost(FakeNetwork& network,
                       Verdict& verdict,
                       ConfigChecks& checks,
                       spread::SpreaderOptions options,
                       Topology topology)
    : network_(network),
      verdict_(verdict),
      checks_(checks),
      self_(options.self),
      topology_(std::move(topology)),
      spreader_(options, network.random().engine()()) {}

void SpreadHost::Run() {
  const TimePoint now = network_.now();
  if (now >= topology_due_) {
    topology_due_ = now + kTopologyInterval;
    Handle(topology_());
  }
  Handle(spread::SpreaderTick{});
  const TimePoint due = spreader_.next_deadline().value_or(now + kMaxPause);
  const Duration pause =
      std::clamp<Duration>(due - now, Milliseconds(1), kMaxPause);
  network_.After(self_, pause, [this] { Run(); });
}

void SpreadHost::Handle(const spread::SpreaderEvent& event) {
  for (const auto& action : spreader_.Handle(event, network_.now())) {
    Execute(action);
  }
}

void SpreadHost::Execute(const spread::SpreaderAction& action) {
  std::visit(
      Overloaded{[this](const spread::SendDelta& send) {
                   network_.Send(self_, send.to, send.message);
                 },
                 [this](const spread::SendFull& send) {
                   spread::FullMessage message = send.message;
                   message.at = point();
                   message.bytes = config::ToBytes(applied_.configuration());
                   network_.Send(self_, send.to, message);
                 },
                 [this](const spread::SendHave& send) {
                   network_.Send(self_, send.to, send.message);
                 },
                 [this](const spread::ApplySteps& apply) { ApplySteps(apply); },
                 [this](const spread::ApplyFull& apply) { ApplyFull(apply); },
                 [this](const spread::ReportDivergence& divergence) {
                   verdict_.Check(false, self_.value() + " and " +
                                             divergence.other.value() +
                                             " have different contents of "
                                             "the same version");
                 }},
      action);
}

void SpreadHost::ApplySteps(const spread::ApplySteps& apply) {
  for (const spread::DeltaStep& step : apply.steps) {
    const auto delta = config::DeltaFromBytes(step.bytes);
    const config::ApplyResult result = delta.has_value()
                                           ? applied_.Apply(*delta)
                                           : config::ApplyResult::kDiverged;
    NoteInForce();
    if (!IsInForce(result)) {
      Report(result);
      return;
    }
  }
  Report(config::ApplyResult::kApplied);
}

void SpreadHost::ApplyFull(const spread::ApplyFull& apply) {
  const auto state = config::ConfigurationFromBytes(apply.bytes);
  Report(state.has_value() ? applied_.Replace(*state)
                           : config::ApplyResult::kDiverged);
}

void SpreadHost::Report(config::ApplyResult result) {
  NoteInForce();
  if (IsInForce(result)) {
    Handle(spread::Applied{point()});
  } else {
    Handle(spread::ApplyFailed{});
  }
}

void SpreadHost::OnStepCommitted(const config::Delta& delta,
                                 config::Digest from) {
  applied_.Apply(delta);
  NoteInForce();
  spread::DeltaStep step;
  step.from = {delta.from, from.value()};
  step.to = {delta.to, delta.digest.value()};
  step.bytes = config::ToBytes(delta);
  Handle(spread::StepAccepted{std::move(step)});
}

void SpreadHost::OnStateAdopted(const config::Configuration& state) {
  applied_.Replace(state);
  NoteInForce();
  Handle(spread::StateAdopted{point()});
}

void SpreadHost::NoteInForce() {
  checks_.OnInForce(self_, network_.incarnation(self_), configuration());
  if (configuration().version() != noted_version_) {
    noted_version_ = configuration().version();
    verdict_.Note(self_, "version " + std::to_string(noted_version_.value()) +
                             " in force");
  }
}

spread::ConfigPoint SpreadHost::point() const {
  return {applied_.version(), applied_.configuration().digest().value()};
}

}  // namespace bilberryspool::scenario
