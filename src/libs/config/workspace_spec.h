#ifndef LIBS_CONFIG_WORKSPACE_SPEC_H_
#define LIBS_CONFIG_WORKSPACE_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/priority_spec.h"

namespace bilberryspool::config {

// Limits and weight of one workspace. An absent limit means unlimited.
struct WorkspaceSpec {
  using Key = Workspace;
  static constexpr const char* kKind = "workspace";

  Workspace id;
  std::optional<std::uint32_t> requests_per_second;
  std::optional<std::uint32_t> concurrent_requests;
  std::optional<std::uint32_t> tokens_per_second;
  // Weight of the workspace's share under contention, relative to that of other
  // workspaces.
  std::uint32_t weight = 1;
  std::optional<PriorityName> default_priority;
  // Hash of the callers' credential. If absent, callers need no credential.
  std::optional<std::string> credential_hash;

  Key key() const { return id; }
  bool operator==(const WorkspaceSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(WorkspaceSpec,
                      (),
                      (id,
                       requests_per_second,
                       concurrent_requests,
                       tokens_per_second,
                       weight,
                       default_priority,
                       credential_hash))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_WORKSPACE_SPEC_H_
