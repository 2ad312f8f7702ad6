// Which requests end the targets that run them.
//
// Such a request takes every target that it is sent to, and with one rank all
// others of its group. A target carries other requests when it ends, which are
// no cause of it, and targets end for other reasons. Only runs tell them apart:
// the request that ends its targets never completes, and ends one each time.
//
// A request that a target ended under therefore runs one at a time in the whole
// deployment, until it completes, or has ended too many and some of them as its
// only run. Of the requests that were at a target when it ended, the one with
// the most ends is to blame for it. Then it is refused for a while, longer each
// time, and tried
// again by a single run. A completion of the same request, at any gateway,
// clears it, also of what comes soon after: a popular request runs at many
// targets when they end for another reason.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_QUARANTINE_QUARANTINE_REGISTRY_H_
#define LIBS_QUARANTINE_QUARANTINE_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/time.h"
#include "libs/quarantine/quarantine_record.h"

namespace bilberryspool::quarantine {

struct QuarantineOptions {
  // Terminations after which a request is refused.
  std::uint32_t terminations_to_refuse = 3;
  // So many of them by a run that had leave: where targets end by the second,
  // one such run may end with its target by chance.
  std::uint32_t sole_run_terminations_to_refuse = 2;
  // Targets that end within this time may do so for one cause, such as a rack
  // without power, which says less of each request that was there.
  Duration common_cause_window = Seconds(1);
  std::uint32_t max_counted_per_cause = 2;
  // While so many other targets end for no known cause, an only run ends with
  // its target by chance. Then more of them are needed.
  std::uint32_t many_concurrent_terminations = 3;
  std::uint32_t sole_run_terminations_to_refuse_if_many = 3;
  // A completion clears of ends up to so much later.
  Duration completion_grace_period = Seconds(20);
  // What else was at the same targets is reported within this time.
  Duration decision_delay = Milliseconds(100);
  // The first refusal and the longest; each is twice as long as the last.
  Duration first_quarantine = Seconds(120);
  Duration max_quarantine = Seconds(3600);
  // A run that was allowed counts as under way for so long at most.
  Duration max_trial = Seconds(10);
  // Without a further end a request is forgotten after this time.
  Duration retention = Seconds(600);
  // Bounds memory; those that are not refused go first, oldest end first.
  std::size_t max_entries = 4096;
  // Terminations of targets for which it is known what was there.
  std::size_t max_terminated_runs = 1024;
  // Most that are told to gateways; those that are refused come first.
  std::size_t max_reported = 256;
  // Of those that are not refused. Where a rack of targets ends, hundreds of
  // requests are under suspicion that hardly any gateway will see again.
  std::size_t max_reported_not_refused = 32;
};

// Of what is told, the part that gateways must not learn late: requests with
// more than one end, and those that are refused.
std::map<RequestFingerprint, Verdict> UrgentVerdicts(
    const std::vector<QuarantineRecord>& records);

class QuarantineRegistry {
 public:
  explicit QuarantineRegistry(QuarantineOptions options) : options_(options) {}

  // A target ended while it ran the request. RecordsToReport by several
  // gateways, or twice by one, it counts once. Returns whether that changed the
  // verdict.
  bool OnTermination(const TerminationObserved& end, TimePoint now);
  // The request has had a whole answer from a target that went on.
  bool OnCompleted(const CompletionObserved& completion, TimePoint now);
  void OnTrialOver(const TrialOver& over);
  // What another control node holds against a request.
  void Adopt(const QuarantineRecord& record, TimePoint now);
  // An operator lets the request pass; ends from now on count. False where
  // nothing is held against it.
  bool OnReleased(const ReleaseOrdered& release, TimePoint now);
  // Forgets, and returns the requests that are refused from about now on.
  std::vector<RequestFingerprint> Tick(TimePoint now);

  Verdict VerdictOf(const RequestFingerprint& request, TimePoint now) const;
  // Whether `asker` may run the request now. While that run is under way no
  // other is allowed; a request that was refused is so again unless it
  // completes.
  bool TryTrial(const RequestFingerprint& request,
                const std::string& requester,
                TimePoint now);

  std::optional<QuarantineRecord> RecordOf(const RequestFingerprint& request,
                                           TimePoint now) const;
  // What gateways have to know, strictest first.
  std::vector<QuarantineRecord> RecordsToReport(TimePoint now) const;
  // Grows with each change of RecordsToReport().
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }
  // All ends that count, as they were observed.
  std::vector<TerminationObserved> Terminations(TimePoint now) const;
  // When the request last had an end; nothing where it had none.
  std::optional<TimePoint> LastTerminationOf(
      const RequestFingerprint& request) const;

 private:
  struct Entry {
    ServiceId service;
    struct End {
      TimePoint at;
      bool was_permitted = false;
    };
    std::map<TargetRun, End> terminations;
    // What another node counted.
    std::uint32_t adopted_terminations = 0;
    TimePoint first_termination;
    TimePoint last_termination;
    // Terminations before this don't count.
    TimePoint cleared_until;
    TimePoint refused_from;
    TimePoint refused_until;
    // The refusal has begun, and is told.
    bool is_refusal_reported = false;
    std::uint32_t quarantines = 0;
    // The run that is allowed.
    std::string requester;
    TimePoint trial_until;
  };
  using Entries =
      std::unordered_map<RequestFingerprint, Entry, RequestFingerprintHash>;

  std::uint32_t CountTerminations(const Entry& entry) const;
  bool IsRefusalJustified(const RequestFingerprint& request,
                          const Entry& entry) const;
  // Whether another request that was there has as many ends.
  bool HasLikelierCause(const TargetRun& run,
                        const RequestFingerprint& request,
                        std::uint32_t terminations) const;
  // Whether many other targets ended about then, at which the request was not
  // and no other one ran alone.
  bool HadManyConcurrentTerminations(const TargetRun& run,
                                     const RequestFingerprint& request) const;
  void RecordTerminatedRun(const TerminationObserved& end, TimePoint at);
  // Takes back refusals that rest on the end of a target for which another
  // request turned out to be to blame.
  void ReviewOtherRequestsAt(const TargetRun& run,
                             const RequestFingerprint& request);
  // The same for refusals that have not begun: more ends of the same moment may
  // have become known.
  void ReviewUndecidedRefusals(TimePoint now);
  void WithdrawRefusal(Entry& entry);
  Verdict VerdictOf(const Entry& entry, TimePoint now) const;
  QuarantineRecord ToRecord(const RequestFingerprint& request,
                            const Entry& entry,
                            TimePoint now) const;
  // Whether that changed the verdict.
  bool Clear(Entry& entry, TimePoint until, TimePoint now);
  void Refuse(Entry& entry, TimePoint from);
  void MakeRoom();

  QuarantineOptions options_;
  Entries entries_;
  // What was at a target when it ended.
  struct TerminatedTarget {
    std::set<RequestFingerprint> requests;
    TimePoint at;
    // One of them was the only run of its request.
    bool had_sole_run = false;
  };
  std::map<TargetRun, TerminatedTarget> terminated_targets_;
  // The same by age.
  std::deque<TargetRun> terminated_runs_by_age_;
  // Refusals that have not begun.
  std::vector<RequestFingerprint> undecided_refusals_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_REGISTRY_H_
