#include "libs/settings/contradictions.h"

#include <algorithm>
#include <set>

namespace bilberryspool::settings {
namespace {

using Contradictions = std::vector<Contradiction>;

struct NamedAddress {
  std::string key;
  SocketAddress address;
};

void CheckNoOverlap(const std::vector<NamedAddress>& addresses,
                    Contradictions& found) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!addresses[i].address.Overlaps(addresses[j].address)) {
        continue;
      }
      found.push_back({addresses[i].key,
                       "\"" + addresses[i].address.ToString() +
                           "\", which overlaps " + addresses[j].key,
                       "an address unlike " + addresses[j].key});
    }
  }
}

void CheckFiles(const CommonSettings& common, Contradictions& found) {
  if (!common.log.file.empty() && common.log.file == common.trace.file) {
    found.push_back({"trace.file", "the same file as log.file",
                     "a file of its own, or \"\""});
  }
}

void CheckNotBelow(const std::string& key,
                   Duration value,
                   const std::string& floor_key,
                   Duration floor,
                   Contradictions& found) {
  if (value >= floor) {
    return;
  }
  const auto in_ms = [](Duration duration) {
    return std::to_string(duration.count() / 1000);
  };
  found.push_back({key, in_ms(value) + ", below " + floor_key,
                   in_ms(floor) + " (" + floor_key + ") or more"});
}

void CheckMembers(const Settings& settings,
                  const EntrySettings& entry,
                  Contradictions& found) {
  const std::string key = "control.initial_members";
  if (entry.initial_members.empty()) {
    return;
  }
  if (!entry.is_control_replica()) {
    found.push_back({key, "members, but no data_folder",
                     "none, or a data_folder for the control state"});
  }
  std::set<NodeId> nodes;
  std::set<SocketAddress> addresses;
  for (const InitialMember& member : entry.initial_members) {
    if (!nodes.insert(member.node).second) {
      found.push_back(
          {key, "\"" + member.node.value() + "\" twice", "each node once"});
    }
    if (!addresses.insert(member.address).second) {
      found.push_back({key, "\"" + member.address.ToString() + "\" twice",
                       "each address once"});
    }
  }
  const InitialMember self{settings.common.node, entry.peers_advertise};
  if (std::find(entry.initial_members.begin(), entry.initial_members.end(),
                self) == entry.initial_members.end()) {
    found.push_back({key, "a list without this node at its peers.advertise",
                     "a list with { node = \"" + self.node.value() +
                         "\", address = \"" + self.address.ToString() +
                         "\" }"});
  }
}

void CheckRole(const Settings& settings,
               const EntrySettings& entry,
               Contradictions& found) {
  CheckNoOverlap({{"callers.listen", entry.callers_listen},
                  {"operators.listen", entry.operators_listen},
                  {"peers.listen", entry.peers_listen}},
                 found);
  // With one secret for both, an operator could also impersonate a process of
  // the system.
  if (entry.operators_credential_file == settings.common.key_file) {
    found.push_back({"operators.credential_file", "the same file as key_file",
                     "a file of its own"});
  }
  CheckMembers(settings, entry, found);
  const CallerLimits& limits = entry.limits;
  CheckNotBelow("limits.max_deadline_ms", limits.max_deadline,
                "limits.default_deadline_ms", limits.default_deadline, found);
  // A grace period shorter than the latest deadline would cut off requests at a
  // planned stop.
  CheckNotBelow("drain.grace_ms", entry.drain_grace, "limits.max_deadline_ms",
                limits.max_deadline, found);
}

void CheckRole(const Settings&,
               const AgentSettings& agent,
               Contradictions& found) {
  CheckNoOverlap(
      {{"listen", agent.listen}, {"engine.address", agent.engine.address}},
      found);
  if (agent.advertise == agent.engine.address) {
    found.push_back({"advertise", "the address of the engine itself",
                     "the agent's own address"});
  }
  const bool is_plain = agent.engine.kind == EngineKind::kPlain;
  if (is_plain && agent.engine.checks_fencing) {
    found.push_back({"engine.checks_fencing", "true beside engine.kind plain",
                     "false, since a plain service takes no orders"});
  }
  if (is_plain && agent.group_place) {
    found.push_back({"group.name", "a group beside engine.kind plain",
                     "no group, since a plain service has no ranks"});
  }
}

void CheckRole(const Settings&,
               const GatewaySettings& gateway,
               Contradictions& found) {
  CheckNoOverlap({{"callers.listen", gateway.callers_listen},
                  {"readiness.listen", gateway.readiness_listen},
                  {"metrics.listen", gateway.metrics_listen}},
                 found);
}

void CheckRole(const Settings&,
               const ControlSettings& control,
               Contradictions& found) {
  CheckNoOverlap({{"operators.listen", control.operators_listen},
                  {"peers.listen", control.peers_listen},
                  {"metrics.listen", control.metrics_listen}},
                 found);
}

void CheckRole(const Settings&,
               const SidecarSettings& sidecar,
               Contradictions& found) {
  CheckNoOverlap({{"peers.listen", sidecar.peers_listen},
                  {"engine.address", sidecar.engine}},
                 found);
}

}  // namespace

std::vector<Contradiction> FindContradictions(const Settings& settings) {
  Contradictions found;
  CheckFiles(settings.common, found);
  std::visit([&](const auto& role) { CheckRole(settings, role, found); },
             settings.role);
  return found;
}

}  // namespace bilberryspool::settings
