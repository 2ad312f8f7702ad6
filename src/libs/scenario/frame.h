// Messages between the nodes of a scenario.

#ifndef LIBS_SCENARIO_FRAME_H_
#define LIBS_SCENARIO_FRAME_H_

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "libs/attempts/messages.h"
#include "libs/attempts/request_event.h"
#include "libs/config/command.h"
#include "libs/config/outcome.h"
#include "libs/consensus/message.h"
#include "libs/membership/announcement.h"
#include "libs/membership/gossip.h"
#include "libs/spread/spread_message.h"

namespace bilberryspool::scenario {

// One send of a request, counted over the whole run.
using SendId = StrongType<struct SendIdTag, std::size_t>;
// One order of an operator, counted over the whole run.
using OrderId = StrongType<struct OrderIdTag, std::size_t>;

// Messages of one send of a request.
struct ClaimCall {
  SendId send;
  attempts::ClaimRequest request;
};
struct ReleaseCall {
  SendId send;
  attempts::ReleaseClaim release;
};
struct SettleCall {
  SendId send;
  attempts::SettleRequest request;
};
struct TokenCall {
  SendId send;
  TargetId target;
};
struct TokenReply {
  SendId send;
  TargetId target;
  attempts::AdmissionToken token;
};
struct AttemptCall {
  SendId send;
  attempts::StartAttempt start;
};
struct ResumeCall {
  SendId send;
  attempts::AttemptRef attempt;
  std::uint64_t offset = 0;
};
// Events that are delivered together, in order: the network may reorder
// frames, but a stream keeps its order.
struct RequestReply {
  SendId send;
  std::vector<attempts::RequestEvent> events;
};

// An operator's order, forwarded to the leader.
struct ProposeCall {
  OrderId order;
  // Number of the call for this order, repeated in the reply.
  std::size_t call = 0;
  config::Command command;
};
struct NotLeading {
  std::optional<NodeId> hint;
};
struct OutcomeUnknown {};
struct ProposeReply {
  OrderId order;
  std::size_t call = 0;
  std::variant<config::Outcome, NotLeading, OutcomeUnknown> result;
};

using Frame = std::variant<consensus::Message,
                           spread::DeltaMessage,
                           spread::FullMessage,
                           spread::HaveMessage,
                           membership::PeerMessage,
                           membership::Announcement,
                           membership::Heartbeat,
                           membership::AnnounceReply,
                           ClaimCall,
                           ReleaseCall,
                           attempts::FinishClaim,
                           SettleCall,
                           TokenCall,
                           TokenReply,
                           AttemptCall,
                           ResumeCall,
                           RequestReply,
                           ProposeCall,
                           ProposeReply>;

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_FRAME_H_
