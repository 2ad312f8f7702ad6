#ifndef LIBS_SCENARIO_REQUEST_BOOK_H_
#define LIBS_SCENARIO_REQUEST_BOOK_H_

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

// What a caller asks for; each resend means the same request.
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
  // Set once the entry has read it.
  std::optional<TimePoint> deadline;
  // The entry died or stood still before the answer.
  bool disturbed = false;
  std::string text;
  std::optional<attempts::FinalKind> final;
};

// All sends of all callers and what the engines ran, and what must always
// hold of them:
// - a non-idempotent request runs at most once;
// - what is answered as "not run" did not run, and this send never runs;
// - an answer is whole, of the request's own, and comes once;
// - it comes by the deadline, unless the entry itself died or stood still;
// - a target that was stopped gets no new work after its grace.
class RequestRegistry {
 public:
  // How long a stopped target may still get work.
  static constexpr Duration kDrainGracePeriod = Seconds(4);

  explicit RequestRegistry(Verdict& verdict) : verdict_(verdict) {}

  SendId Open(CallerRequest request, const NodeId& entry, TimePoint now);
  CallerSend& send(SendId id) { return sends_.at(id.value()); }
  // The request as it was first sent.
  std::optional<CallerRequest> Find(const RequestId& id) const;
  // The latest send of the request with a final answer, or its latest.
  const CallerSend* LatestOf(const RequestId& id) const;
  std::size_t RunsOf(const RequestId& id) const;

  // The entry died or froze: answers that it owes may be late or missing.
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

#endif  // LIBS_SCENARIO_REQUEST_BOOK_H_
