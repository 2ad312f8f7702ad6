// Identifiers and counters shared by several libraries.

#ifndef LIBS_BASE_IDS_H_
#define LIBS_BASE_IDS_H_

#include "libs/base/strong_type.h"

namespace bilberryspool {

// One process of the system (an entry or an agent), from its settings.
using NodeId = StringId<struct NodeIdTag>;
// A part of the site that can fail as a whole, such as "sahab".
using FailureDomain = StringId<struct FailureDomainTag>;
// A customer of the deployment.
using Workspace = StringId<struct WorkspaceTag>;
// A service that callers request: a model or a plain service.
using ServiceId = StringId<struct ServiceIdTag>;
// A back end: one engine or plain service with its agent.
using TargetId = StringId<struct TargetIdTag>;
// An expert-parallel model group.
using GroupId = StringId<struct GroupIdTag>;
// One request of a caller; resends have the same id (the Idempotency-Key).
using RequestId = StringId<struct RequestIdTag>;
// One attempt to run a request on one target; never reused.
using AttemptId = StringId<struct AttemptIdTag>;
// One command of an operator; resends have the same id.
using CommandId = StringId<struct CommandIdTag>;

// Counts the starts of one process: a restarted process has no memory of what
// its previous incarnation did.
using Incarnation = StrongNumber<struct IncarnationTag>;
// Version of the accepted configuration.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
// Term of the replicated log, with at most one leader.
using Term = StrongNumber<struct TermTag>;
// Position in the replicated log; the first entry is 1.
using LogIndex = StrongNumber<struct LogIndexTag>;
// Fencing token of orders to an engine, which refuses lower tokens than it has
// seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;
// Version of a group's expert map.
using MapVersion = StrongNumber<struct MapVersionTag>;
// Position of a rank in its group, from 0.
using RankIndex = StrongType<struct RankIndexTag, std::uint32_t>;
// Position of an expert in its layer, from 0.
using ExpertIndex = StrongType<struct ExpertIndexTag, std::uint32_t>;

}  // namespace bilberryspool

#endif  // LIBS_BASE_IDS_H_
