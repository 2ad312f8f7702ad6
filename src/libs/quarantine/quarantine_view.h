// A gateway's view of suspect and refused requests and prompt parts: what
// control nodes report, combined with its own observations.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_QUARANTINE_QUARANTINE_VIEW_H_
#define LIBS_QUARANTINE_QUARANTINE_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/quarantine/prompt_part_registry.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/quarantine/quarantine_registry.h"
#include "libs/quarantine/recent_requests.h"

namespace bilberryspool::quarantine {

struct QuarantineViewOptions {
  QuarantineOptions own;
  PromptPartOptions own_parts;
  // Own observations count for this long in addition to the reports of control
  // nodes, which must have received them by then.
  Duration own_observation_lifetime = Seconds(2);
  std::size_t max_completions = 2048;
  std::size_t max_answered_parts = 2048;
};

// A verdict and the data that it is based on.
struct Judgement {
  Verdict verdict = Verdict::kFree;
  std::uint32_t terminations = 0;
  Duration since{};
  Duration remaining{};
  // The control node that reported it; empty if observed by this gateway.
  std::string source;
  // Time since the source reported it.
  Duration age{};
};

class QuarantineView {
 public:
  explicit QuarantineView(QuarantineViewOptions options)
      : options_(options),
        own_(options.own),
        own_parts_(options.own_parts),
        completions_(options.max_completions),
        answered_parts_(options.max_answered_parts) {}

  // Merges a report of the control node `source`. If `is_whole`, the report is
  // complete and replaces all earlier records of the source. Returns the
  // completions that clear reported requests and that the control nodes have to
  // be notified of.
  std::vector<CompletionObserved> Adopt(
      const std::string& source,
      const std::vector<QuarantineRecord>& records,
      bool is_whole,
      TimePoint now);
  // Records of unreachable control nodes count only if none is reachable.
  void SetReachable(const std::string& source, bool is_reachable);

  void OnTermination(const TerminationObserved& end, TimePoint now);
  // Returns whether the completion clears a known record of the request.
  bool OnCompleted(const RequestFingerprint& request, TimePoint now);
  // An answer with the prompt part that began at `began_at` was completed, or
  // has gone on for a while. Returns whether the part is on record.
  bool OnPartAnswered(const RequestFingerprint& part,
                      TimePoint began_at,
                      TimePoint now);

  Judgement Judge(const RequestFingerprint& request, TimePoint now) const;
  // Whether targets are known to have terminated under the request or the
  // prompt part.
  bool IsSuspect(const RequestFingerprint& request, TimePoint now) const;
  // Permits a single run where no control node is reachable.
  bool TryTrial(const RequestFingerprint& request,
                const std::string& requester,
                TimePoint now);
  void OnTrialOver(const TrialOver& over);
  // To be called a few times a second.
  void Tick(TimePoint now);
  // Own observations, for a control node that has restarted.
  std::vector<TerminationObserved> OwnTerminations(TimePoint now) const;
  std::vector<Observation> OwnTerminationsOf(const RequestFingerprint& request,
                                             TimePoint now) const;
  bool any_reachable() const;

 private:
  struct ReportedRecord {
    QuarantineRecord record;
    TimePoint at;
  };
  struct Source {
    bool is_reachable = true;
    std::map<RequestFingerprint, ReportedRecord> records;
    // When answers with these prompt parts were last reported to it.
    std::map<RequestFingerprint, TimePoint> answers_reported_at;
  };

  // The last answer with the prompt part, if `source` should be told of it: it
  // clears the part or shows that it is a popular one.
  std::optional<TimePoint> AnswerToReport(Source& source,
                                          const RequestFingerprint& part,
                                          TimePoint now) const;
  // Time of the completion that clears the request or the prompt part at
  // present; nothing if there is none.
  std::optional<TimePoint> ClearedAt(const RequestFingerprint& request,
                                     TimePoint now) const;
  bool IsOnRecord(const RequestFingerprint& request) const;
  // What own observations say; nothing if they don't count.
  std::optional<QuarantineRecord> OwnRecordOf(const RequestFingerprint& request,
                                              TimePoint now) const;

  QuarantineViewOptions options_;
  QuarantineRegistry own_;
  PromptPartRegistry own_parts_;
  RecentRequests completions_;
  RecentRequests answered_parts_;
  std::map<std::string, Source> sources_;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_VIEW_H_
