// Detects prompt parts that terminate the targets that answer on them.
//
// Every request with such a part terminates its target, whoever sends it and
// whatever else it holds, and no two of these requests are alike. Other parts
// are in the same prompts, and other requests run at the same targets. The part
// is told from them by four facts:
//
// - It is at most of the targets that terminated in the same moments and were
//   not terminated by a part that is refused already.
// - It is not in most of the requests there: such a part is at every target.
// - It is there under different requests. A single request that terminates
//   targets is a matter of QuarantineRegistry, and its parts are not to blame.
// - No request with it is answered, not even for a while. Any answer clears the
//   part of the terminations before it began.
//
// Of the parts at the same targets, the one with the most terminations is taken
// as the cause. It is refused for a period that doubles each time, and tried
// again by a single run. Unlike requests, suspect parts are not held back
// before: a part that nearly all requests share would hold back the service.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_QUARANTINE_PROMPT_PART_REGISTRY_H_
#define LIBS_QUARANTINE_PROMPT_PART_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/time.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/quarantine/refusal.h"

namespace bilberryspool::quarantine {

struct PromptPartOptions {
  // Number of terminations after which a part is refused, if no other part at
  // these targets has as many; else the second number applies.
  std::uint32_t terminations_to_refuse = 3;
  std::uint32_t terminations_to_refuse_tied = 4;
  // The same if the part was also at a target that terminated among many
  // without it.
  std::uint32_t terminations_to_refuse_among_others = 5;
  // Targets that terminate within this time may share one cause, such as a rack
  // without power. At most `max_counted_per_cause` terminations are counted per
  // such window. If there are `many_per_cause`, this is one more for a part
  // that has not been answered on in `answer_memory`, as a popular one would
  // have been, and only one in all for a part that has.
  Duration common_cause_window = Seconds(1);
  std::uint32_t max_counted_per_cause = 2;
  std::uint32_t many_per_cause = 5;
  Duration answer_memory = Seconds(60);
  // Targets that terminate within this time of each other are compared: if the
  // part is at few of them, it is not the cause.
  Duration same_moment = Milliseconds(250);
  // A target terminates soon after an answer with a bad part has begun, so an
  // answer also clears terminations up to this much after its begin.
  Duration answer_grace_period = Seconds(1);
  // A part is judged this long after a termination, within which gateways
  // report what else ran at the target, and answers that clear the part.
  Duration decision_delay = Milliseconds(700);
  // Of a part that gateways have known to be suspect for `known_suspect_time`,
  // answers have been reported by then.
  Duration short_decision_delay = Milliseconds(100);
  Duration known_suspect_time = Milliseconds(1500);
  RefusalOptions refusal;
  // Terminations are not reported again after this time.
  Duration max_reported_age = Seconds(15);
  // Entries are erased this long after the last termination, refusal or
  // clearance.
  Duration retention = Seconds(600);
  // Bounds memory. Parts that are not refused are evicted first, in the order
  // of their last termination.
  std::size_t max_entries = 4096;
  // Number of terminated targets whose parts are remembered.
  std::size_t max_terminated_runs = 1024;
  // Maximum numbers of records reported to gateways.
  std::size_t max_reported_refused = 128;
  std::size_t max_reported_not_refused = 32;
};

class PromptPartRegistry {
 public:
  explicit PromptPartRegistry(PromptPartOptions options) : options_(options) {}

  // A target terminated while running a request with the part. Reports of the
  // same run by several gateways, or repeated ones, count once.
  void OnTermination(const TerminationObserved& end, TimePoint now);
  // A request with the part was answered, at least for a while; the age is that
  // of the begin of the answer. Returns whether the verdict has changed.
  bool OnAnswered(const CompletionObserved& completion, TimePoint now);
  // Ends the permission, if the requester still holds it.
  void OnTrialOver(const TrialOver& over);
  // An operator released the part; only terminations from now on count. Returns
  // whether the verdict has changed.
  bool OnReleased(const ReleaseOrdered& release, TimePoint now);
  // Merges the record of another node.
  void Adopt(const QuarantineRecord& record, TimePoint now);
  // Judges the parts of recent terminations and erases old entries; to be
  // called a few times a second, once all gateways have reported. Returns the
  // parts whose refusal has started since the last call.
  std::vector<RequestFingerprint> Judge(TimePoint now);

  // kOneAtATime only between two refusals.
  Verdict VerdictOf(const RequestFingerprint& part, TimePoint now) const;
  // Returns whether `requester` may run a request with the part now.
  bool TryTrial(const RequestFingerprint& part,
                const std::string& requester,
                TimePoint now);

  std::optional<QuarantineRecord> RecordOf(const RequestFingerprint& part,
                                           TimePoint now) const;
  // The records to report to gateways: those that are not free, and those that
  // one more termination may decide on, so that gateways report answers.
  std::vector<QuarantineRecord> RecordsToReport(TimePoint now) const;
  // Increases with each change of RecordsToReport().
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }
  // Recent terminations, as they were observed. Earlier ones may have been
  // cleared by answers that other gateways saw.
  std::vector<TerminationObserved> Terminations(TimePoint now) const;

 private:
  struct End {
    TimePoint at;
    std::set<RequestFingerprint> carriers;
  };
  struct Entry {
    explicit Entry(RefusalOptions options) : refusal(options) {}

    ServiceId service;
    std::map<TargetRun, End> ends;
    // Terminations that count, as of the last judgement.
    std::uint32_t counted = 0;
    // Terminations counted by another node.
    std::uint32_t adopted_terminations = 0;
    // Since when it is reported as suspect, if it is.
    std::optional<TimePoint> suspect_since;
    // Unset if there has been no termination since the last judgement.
    std::optional<TimePoint> judged_at;
    std::optional<TimePoint> last_answer;
    TimePoint first_termination;
    TimePoint last_termination;
    // Terminations before this time don't count.
    TimePoint cleared_until;
    Refusal refusal;
  };
  // The parts and requests that ran at a target when it terminated.
  struct TerminatedRun {
    TimePoint at;
    std::set<RequestFingerprint> parts;
    std::set<RequestFingerprint> requests;
  };
  using Entries =
      std::unordered_map<RequestFingerprint, Entry, RequestFingerprintHash>;

  void RecordRun(const TerminationObserved& end, TimePoint at);
  // Whether another part that ran there is refused.
  bool IsExplained(const TargetRun& run, const RequestFingerprint& part) const;
  // Whether most requests there had the part, so that it had to be there.
  bool IsCommonAt(const TargetRun& run, const End& end) const;
  // The targets that terminated around `at`.
  struct Moment {
    std::size_t runs = 0;
    std::size_t runs_with_part = 0;

    bool is_part_at_most() const { return 2 * runs_with_part >= runs; }
  };
  Moment MomentOf(const RequestFingerprint& part, TimePoint at) const;
  // Whether it was also at targets that terminated among many without it, which
  // shows that other causes are at work.
  bool IsAmongOthers(const RequestFingerprint& part, const Entry& entry) const;
  bool IsSuspect(const Entry& entry) const;
  Duration DecisionDelay(const Entry& entry, TimePoint now) const;
  void Refuse(const RequestFingerprint& part, Entry& entry, TimePoint now);
  static std::uint32_t CountOf(const Entry& entry);
  std::uint32_t CountTerminations(const RequestFingerprint& part,
                                  const Entry& entry) const;
  // Number of terminated runs of the part at which no other part is a likelier
  // cause.
  std::uint32_t CountBlamed(const RequestFingerprint& part,
                            const Entry& entry) const;
  // Whether one request ran at all the terminated runs of the part.
  bool IsOneRequestToBlame(const RequestFingerprint& part,
                           const Entry& entry) const;
  bool IsRefusalJustified(const RequestFingerprint& part,
                          const Entry& entry) const;
  // Returns whether the verdict has changed.
  bool Clear(Entry& entry, TimePoint until, TimePoint now);
  Verdict VerdictOf(const Entry& entry, TimePoint now) const;
  QuarantineRecord ToRecord(const RequestFingerprint& part,
                            const Entry& entry,
                            TimePoint now) const;
  void EraseOld(TimePoint now);
  Entry& EntryOf(const RequestFingerprint& part);

  PromptPartOptions options_;
  Entries entries_;
  std::map<TargetRun, TerminatedRun> runs_;
  std::multimap<TimePoint, TargetRun> runs_by_time_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_PROMPT_PART_REGISTRY_H_
