#ifndef LIBS_SCENARIO_REQUEST_REGISTRY_H_
#define LIBS_SCENARIO_REQUEST_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/attempts/request_action.h"
#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/scenario/frame.h"
#include "libs/scenario/verdict.h"

namespace bilberryspool::scenario {

// A caller's request; all of its sends have the same id.
struct CallerRequest {
  RequestId id;
  ServiceId service;
  bool idempotent = true;
};

// One send of a request.
struct CallerSend {
  CallerRequest request;
  NodeId entry;
  TimePoint at;
  // Set once the entry has received the request.
  std::optional<TimePoint> deadline;
  // The entry was killed or frozen before it answered.
  bool disturbed = false;
  std::string text;
  std::optional<attempts::FinalKind> final;
};

// Records all sends of callers and all runs of the engines, and checks their
// invariants:
// - a non-idempotent request runs at most once;
// - a send answered as "not run" did not run and never will; for a
//   non-idempotent request, neither did any other send of it;
// - an answer is complete, belongs to its request, and comes once;
// - it comes by the deadline, unless the entry was killed or frozen;
// - a target in a planned stop gets no new work after the drain grace period.
class RequestRegistry {
 public:
  // How long a target may still get new work after its planned stop began.
  static constexpr Duration kDrainGracePeriod = Seconds(4);

  explicit RequestRegistry(Verdict& verdict) : verdict_(verdict) {}

  SendId Open(CallerRequest request, const NodeId& entry, TimePoint now);
  CallerSend& send(SendId id) { return sends_.at(id.value()); }
  // The request as it was first sent; nullopt if it was never sent.
  std::optional<CallerRequest> Find(const RequestId& id) const;
  // The latest send of the request; null if there is none.
  const CallerSend* LatestOf(const RequestId& id) const;
  std::size_t RunsOf(const RequestId& id) const;

  // The entry was killed or frozen: its pending answers may be late or missing.
  void MarkDisturbed(const NodeId& entry);
  void OnTargetStopping(const TargetId& target, TimePoint now);
  void OnRun(SendId send, const TargetId& target, TimePoint now);
  void OnAnswered(SendId send,
                  const attempts::AnswerCaller& answer,
                  TimePoint now);
  void CheckDeadlines(TimePoint now);

  static std::string AnswerTo(const RequestId& id) {
    return "the whole answer to " + id.value();
  }

 private:
  struct Run {
    SendId send;
    TimePoint at;
  };

  void Check(bool holds, SendId send, const std::string& what);

  Verdict& verdict_;
  std::vector<CallerSend> sends_;
  std::map<RequestId, std::vector<Run>> runs_;
  std::map<TargetId, TimePoint> stopping_targets_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_REQUEST_REGISTRY_H_
