#include "libs/scenario/runner.h"

#include <stdexcept>
#include <utility>

#include "libs/base/check.h"
#include "libs/scenario/conditions.h"
#include "libs/scenario/random_faults.h"
#include "libs/scenario/world.h"

namespace bilberryspool::scenario {
namespace {

// How often an expectation with a time limit is checked, in simulated time.
constexpr Duration kPollInterval = Milliseconds(1);

// Thrown when an invariant of the code under test is violated, so that the run
// can be reported instead of aborting the process.
struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void ThrowInvariant(std::string_view what, const char* file, int line) {
  throw BrokenInvariant("invariant broken: " + std::string(what) + " (" + file +
                        ":" + std::to_string(line) + ")");
}

// Names that the script has assigned to nodes.
using Names = std::map<std::string, NodeId>;

class Execution {
 public:
  explicit Execution(World& world) : world_(world) {}

  void Execute(const Deployment&) {}
  void Execute(const Order& order);
  void Execute(const NameLeader& statement);
  void Execute(const FaultNode& statement);
  void Execute(const Cut& cut);
  void Execute(const Heal&) { world_.network().Heal(); }
  void Execute(const SetDelay& delay);
  void Execute(const SetDuplication& duplication);
  void Execute(const SetLoss& loss);
  void Execute(const SendRequest& send);
  void Execute(const ResendRequest& resend);
  void Execute(const Load& load);
  void Execute(const Wait& wait) { Advance(wait.duration); }
  void Execute(const RandomFaults& faults) { RunRandomFaults(world_, faults); }
  void Execute(const Expect& expect);

 private:
  static constexpr double kPercent = 100;

  void Advance(Duration duration) {
    world_.RunUntil(world_.network().now() + duration, [] { return false; });
  }
  std::vector<NodeId> Resolve(const std::string& name);
  NodeId ResolveOne(const std::string& name);

  World& world_;
  Names names_;
  std::size_t loads_ = 0;
};

std::vector<NodeId> Execution::Resolve(const std::string& name) {
  if (name == "everyone") {
    return world_.nodes();
  }
  if (name == "leader") {
    return world_.leaders();
  }
  const auto given = names_.find(name);
  return given != names_.end() ? std::vector<NodeId>{given->second}
                               : world_.Resolve(name);
}

NodeId Execution::ResolveOne(const std::string& name) {
  const std::vector<NodeId> nodes = Resolve(name);
  world_.verdict().Check(nodes.size() == 1,
                         "\"" + name + "\" must name exactly one node");
  return nodes.empty() ? world_.entries().front() : nodes.front();
}

void Execution::Execute(const Order& order) {
  world_.SubmitOrder(order.operator_name, ResolveOne(order.entry), order.text);
}

void Execution::Execute(const NameLeader& statement) {
  names_[statement.name] = ResolveOne("leader");
}

void Execution::Execute(const FaultNode& statement) {
  const NodeId node = ResolveOne(statement.node);
  switch (statement.fault) {
    case NodeFault::kKill:
      return world_.Kill(node);
    case NodeFault::kRestart:
      return world_.Restart(node);
    case NodeFault::kLoseDisk:
      return world_.LoseDisk(node);
    case NodeFault::kFreeze:
      return world_.Freeze(node);
    case NodeFault::kThaw:
      return world_.network().Thaw(node);
    case NodeFault::kPlannedStop:
      return world_.BeginPlannedStop(node);
  }
}

void Execution::Execute(const Cut& cut) {
  std::set<NodeId> from;
  for (const std::string& name : cut.from) {
    for (const NodeId& node : Resolve(name)) {
      from.insert(node);
    }
  }
  world_.verdict().Check(!from.empty(), "a cut must name nodes");
  for (const std::string& name : cut.to) {
    for (const NodeId& to : Resolve(name)) {
      for (const NodeId& node : from) {
        if (from.contains(to)) {
          continue;
        }
        world_.network().Cut(node, to);
        if (!cut.one_way) {
          world_.network().Cut(to, node);
        }
      }
    }
  }
}

void Execution::Execute(const SetDelay& delay) {
  LinkConditions& links = world_.network().conditions();
  links.max_delay = std::max(delay.max_delay, links.min_delay);
}

void Execution::Execute(const SetDuplication& duplication) {
  world_.network().conditions().duplication = duplication.percent / kPercent;
}

void Execution::Execute(const SetLoss& loss) {
  world_.network().conditions().loss = loss.percent / kPercent;
}

void Execution::Execute(const SendRequest& send) {
  world_.Send({RequestId(send.id), ServiceId(send.service), send.idempotent},
              ResolveOne(send.entry));
}

void Execution::Execute(const ResendRequest& resend) {
  const auto request = world_.request_registry().Find(RequestId(resend.id));
  world_.verdict().Check(
      request.has_value(),
      "request " + resend.id + " must have been sent before");
  if (request.has_value()) {
    world_.Send(*request, ResolveOne(resend.entry));
  }
}

void Execution::Execute(const Load& load) {
  const std::vector<NodeId> entries = world_.entries();
  const Duration pause = Seconds(1) / std::max(1U, load.per_second);
  const std::string prefix = "load-" + std::to_string(++loads_) + "-";
  std::size_t count = 0;
  for (Duration at{}; at < load.duration; at += pause) {
    const CallerRequest request{RequestId(prefix + std::to_string(++count)),
                                ServiceId(load.service), load.idempotent};
    const NodeId& entry = entries[count % entries.size()];
    world_.network().At(
        at, [this, request, entry] { world_.Send(request, entry); });
  }
}

void Execution::Execute(const Expect& expect) {
  const auto resolve = [this](const std::string& name) {
    return ResolveOne(name);
  };
  TimePoint next_check = world_.network().now();
  const auto holds = [&] {
    if (world_.network().now() < next_check) {
      return false;
    }
    next_check = world_.network().now() + kPollInterval;
    return Holds(expect.condition, world_, resolve);
  };
  const TimePoint end = world_.network().now() + expect.within;
  const bool is_met = world_.RunUntil(end, holds);
  if (!is_met) {
    world_.verdict().Check(Holds(expect.condition, world_, resolve),
                           Describe(expect.condition, world_));
  }
}

}  // namespace

RunResult RunScript(const Script& script,
                    std::uint64_t seed,
                    const Verdict::Listener& listener) {
  const InvariantHandler before = SetInvariantHandler(&ThrowInvariant);
  RunResult result;
  result.seed = seed;
  World world(std::get<Deployment>(script.lines.front().statement), seed,
              listener);
  Execution execution(world);
  try {
    for (const ScriptLine& line : script.lines) {
      result.line = line.number;
      result.line_text = line.text;
      world.verdict().Note(NodeId("line " + std::to_string(line.number)),
                           line.text);
      std::visit([&](const auto& typed) { execution.Execute(typed); },
                 line.statement);
      if (world.verdict().failed()) {
        break;
      }
    }
    world.CheckAtEnd();
  } catch (const BrokenInvariant& broken) {
    world.verdict().Check(false, broken.what());
  }
  SetInvariantHandler(before);
  result.passed = !world.verdict().failed();
  result.failure = world.verdict().failure();
  const auto& events = world.verdict().events();
  result.events.assign(events.begin(), events.end());
  result.length = world.network().now().time_since_epoch();
  return result;
}

std::string Describe(const Script& script, const RunResult& result) {
  std::string text;
  for (const std::string& event : result.events) {
    text += event + "\n";
  }
  text += script.name + ":" + std::to_string(result.line) + ": " +
          result.line_text + "\n  " + result.failure +
          "\n  replay: " + "bilberryspool-scenario " + script.name +
          " --seed=" + std::to_string(result.seed) + " --trace\n";
  return text;
}

}  // namespace bilberryspool::scenario
