#include "libs/scenario/conditions.h"

#include <algorithm>

#include "libs/base/overloaded.h"

namespace bilberryspool::scenario {
namespace {

ConfigVersion VersionOf(const InForce& expected, const World& world) {
  return expected.version.has_value()
             ? ConfigVersion(*expected.version)
             : world.checks().latest_reported_version();
}

bool IsMet(const InForce& expected,
           const World& world,
           const ResolveName& resolve) {
  const ConfigVersion version = VersionOf(expected, world);
  if (!expected.node.empty()) {
    return world.IsInForce(resolve(expected.node), version);
  }
  const std::vector<NodeId> nodes = world.nodes();
  return std::all_of(nodes.begin(), nodes.end(), [&](const NodeId& node) {
    return !world.runs(node) || world.IsInForce(node, version);
  });
}

bool IsMet(const HasLeader& expected,
           const World& world,
           const ResolveName& resolve) {
  const std::vector<NodeId> leaders = world.leaders();
  if (expected.none) {
    return leaders.empty();
  }
  if (!expected.node.empty()) {
    return leaders == std::vector<NodeId>{resolve(expected.node)};
  }
  return expected.only ? leaders.size() == 1 : !leaders.empty();
}

bool IsMet(const HasOutcome& expected,
           const World& world,
           const ResolveName& /*resolve*/) {
  const CallerSend* send =
      world.request_registry().LatestOf(RequestId(expected.id));
  if (send == nullptr || !send->final.has_value()) {
    return expected.outcome == RequestOutcome::kNone;
  }
  switch (*send->final) {
    case attempts::FinalKind::kAnswered:
      return expected.outcome == RequestOutcome::kAnswered;
    case attempts::FinalKind::kNotRun:
      return expected.outcome == RequestOutcome::kNotRun;
    case attempts::FinalKind::kUnknown:
      return expected.outcome == RequestOutcome::kUnknown;
  }
  return false;
}

bool IsMet(const Ran& expected,
           const World& world,
           const ResolveName& /*resolve*/) {
  const std::size_t runs =
      world.request_registry().RunsOf(RequestId(expected.id));
  switch (expected.runs) {
    case Runs::kOnce:
      return runs == 1;
    case Runs::kNever:
      return runs == 0;
    case Runs::kAtMostOnce:
      return runs <= 1;
  }
  return false;
}

bool IsMet(const Offered& expected,
           const World& world,
           const ResolveName& /*resolve*/) {
  const std::vector<NodeId> entries = world.entries();
  return std::all_of(entries.begin(), entries.end(), [&](const NodeId& entry) {
    return !world.runs(entry) ||
           world.Offers(entry, TargetId(expected.target)) == expected.offered;
  });
}

const OrderState* LatestOrder(const std::string& operator_name,
                              const World& world) {
  const OrderState* latest = nullptr;
  for (const OrderState& order : world.orders()) {
    const bool is_meant =
        operator_name.empty() || order.operator_name == operator_name;
    latest = is_meant ? &order : latest;
  }
  return latest;
}

bool IsMet(const OrderEnded& expected,
           const World& world,
           const ResolveName& /*resolve*/) {
  const OrderState* order = LatestOrder(expected.operator_name, world);
  if (order == nullptr) {
    return false;
  }
  if (expected.outcome == OrderOutcome::kUnanswered) {
    return !order->outcome.has_value();
  }
  if (!order->outcome.has_value()) {
    return false;
  }
  const auto* accepted = std::get_if<config::Accepted>(&*order->outcome);
  if (expected.outcome == OrderOutcome::kRefused) {
    return accepted == nullptr;
  }
  const bool is_version_met =
      accepted != nullptr &&
      accepted->version.value() ==
          expected.version.value_or(accepted->version.value());
  return is_version_met;
}

bool IsMet(const HasVoter& expected,
           const World& world,
           const ResolveName& resolve) {
  return !world.leaders().empty() &&
         world.IsVoter(resolve(expected.node)) == expected.votes;
}

std::string DescribeMissing(const InForce& expected, const World& world) {
  const ConfigVersion version = VersionOf(expected, world);
  std::string text = "version " + std::to_string(version.value()) + " is not";
  text += " in force on";
  for (const NodeId& node : world.nodes()) {
    if (world.runs(node) && !world.IsInForce(node, version)) {
      text += " " + node.value();
    }
  }
  return text;
}

}  // namespace

bool Holds(const Condition& condition,
           const World& world,
           const ResolveName& resolve) {
  return std::visit(
      [&](const auto& expected) { return IsMet(expected, world, resolve); },
      condition);
}

std::string Describe(const Condition& condition, const World& world) {
  return std::visit(
      Overloaded{[&](const InForce& expected) {
                   return "expectation not met: " +
                          DescribeMissing(expected, world);
                 },
                 [&](const HasLeader&) {
                   std::string text = "expectation not met: leaders are";
                   for (const NodeId& leader : world.leaders()) {
                     text += " " + leader.value();
                   }
                   return text;
                 },
                 [&](const Ran& expected) {
                   const auto runs =
                       world.request_registry().RunsOf(RequestId(expected.id));
                   return "expectation not met: " + expected.id + " ran " +
                          std::to_string(runs) + " times";
                 },
                 [](const auto&) {
                   return std::string("the expected condition was not met");
                 }},
      condition);
}

}  // namespace bilberryspool::scenario
