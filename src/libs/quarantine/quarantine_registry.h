// Detects requests that terminate the targets that run them.
//
// Such a request takes down every target that it is sent to and, if the target
// is a rank, all other ranks of its group. A target also runs other requests
// when it terminates, and targets terminate for other reasons. Only the history
// of runs tells the requests apart: a harmful request never completes, and each
// of its runs terminates a target.
//
// Therefore, once a target has terminated while running a request, the request
// runs one at a time in the whole deployment. This lasts until the request
// completes, or until enough of its runs were terminated, some of them while
// being its sole run. Of the requests that ran at a target when it terminated,
// the one with the most terminations is taken as the cause. It is then refused
// for a period that doubles each time, and tried again by a single run. A
// completion of the same request at any gateway clears it, and also clears
// terminations that follow soon after: a popular request runs at many targets
// when these terminate for another reason.
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
#include "libs/quarantine/refusal.h"

namespace bilberryspool::quarantine {

struct QuarantineOptions {
  // Number of terminations after which a request is refused.
  std::uint32_t terminations_to_refuse = 3;
  // Minimum number of these that hit a permitted (sole) run. Where targets
  // terminate every second, one sole run may be hit by chance.
  std::uint32_t sole_run_terminations_to_refuse = 2;
  // Targets that terminate within this time may share one cause, such as a rack
  // without power, which says less about each request that ran there. No more
  // than `max_counted_per_cause` terminations are counted per such window.
  Duration common_cause_window = Seconds(1);
  std::uint32_t max_counted_per_cause = 2;
  // If at least this number of other targets terminate around the same time for
  // no known cause, a sole run may be hit by chance. More terminated sole runs
  // are then required.
  std::uint32_t many_concurrent_terminations = 3;
  std::uint32_t sole_run_terminations_to_refuse_if_many = 3;
  // A completion also clears terminations up to this much later.
  Duration completion_grace_period = Seconds(20);
  // A refusal starts after this delay, within which gateways report the other
  // requests that ran at the same targets.
  Duration decision_delay = Milliseconds(100);
  RefusalOptions refusal;
  // Entries are erased this long after the last termination, refusal or
  // clearance.
  Duration retention = Seconds(600);
  // Bounds memory. Requests that are not refused are evicted first, in the
  // order of their last termination.
  std::size_t max_entries = 4096;
  // Number of terminated targets whose requests are remembered.
  std::size_t max_terminated_runs = 1024;
  // Maximum number of records reported to gateways; refused requests come
  // first.
  std::size_t max_reported = 256;
  // Maximum number of reported records of requests that are not refused. When a
  // rack of targets terminates, hundreds of requests become suspects that
  // hardly any gateway will see again.
  std::size_t max_reported_not_refused = 32;
};

// The part of `records` that gateways must learn without delay: requests with
// more than one termination, and refused requests.
std::map<RequestFingerprint, Verdict> UrgentVerdicts(
    const std::vector<QuarantineRecord>& records);

class QuarantineRegistry {
 public:
  explicit QuarantineRegistry(QuarantineOptions options) : options_(options) {}

  // A target terminated while running the request. Reports of the same run from
  // several gateways, or repeated ones, count once. Returns whether the verdict
  // has changed.
  bool OnTermination(const TerminationObserved& end, TimePoint now);
  // The request was answered completely by a target that continued to run.
  // Returns whether the verdict has changed.
  bool OnCompleted(const CompletionObserved& completion, TimePoint now);
  // Ends the permission, if the requester still holds it.
  void OnTrialOver(const TrialOver& over);
  // Merges the record of another control node.
  void Adopt(const QuarantineRecord& record, TimePoint now);
  // An operator released the request; only terminations from now on count.
  // Returns whether the verdict has changed; false for an unknown request.
  bool OnReleased(const ReleaseOrdered& release, TimePoint now);
  // Erases old entries. Returns the requests whose refusal has started since
  // the last call.
  std::vector<RequestFingerprint> Tick(TimePoint now);

  Verdict VerdictOf(const RequestFingerprint& request, TimePoint now) const;
  // Returns whether `requester` may run the request now. While a permitted run
  // is in progress no other one is allowed. A request that was refused before
  // is refused again from the start of this run, unless it completes.
  bool TryTrial(const RequestFingerprint& request,
                const std::string& requester,
                TimePoint now);

  std::optional<QuarantineRecord> RecordOf(const RequestFingerprint& request,
                                           TimePoint now) const;
  // The records to report to gateways, strictest first.
  std::vector<QuarantineRecord> RecordsToReport(TimePoint now) const;
  // Increases with each change of RecordsToReport().
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return entries_.size(); }
  // All counted terminations, as they were observed.
  std::vector<TerminationObserved> Terminations(TimePoint now) const;
  // Time of the last termination; nothing if none is known.
  std::optional<TimePoint> LastTerminationOf(
      const RequestFingerprint& request) const;

 private:
  struct Entry {
    explicit Entry(RefusalOptions options) : refusal(options) {}

    ServiceId service;
    struct End {
      TimePoint at;
      bool was_permitted = false;
    };
    std::map<TargetRun, End> terminations;
    // Terminations counted by another control node.
    std::uint32_t adopted_terminations = 0;
    TimePoint first_termination;
    TimePoint last_termination;
    // Terminations before this time don't count.
    TimePoint cleared_until;
    Refusal refusal;
  };
  using Entries =
      std::unordered_map<RequestFingerprint, Entry, RequestFingerprintHash>;

  std::uint32_t CountTerminations(const Entry& entry) const;
  // Whether the terminations of the request suffice to refuse it.
  bool IsRefusalJustified(const RequestFingerprint& request,
                          const Entry& entry) const;
  // Whether another request that ran at the same target has at least as many
  // `terminations`.
  bool HasLikelierCause(const TargetRun& run,
                        const RequestFingerprint& request,
                        std::uint32_t terminations) const;
  // Whether many other targets terminated around the same time that did not run
  // this request, and at which no request was the sole run.
  bool HadManyConcurrentTerminations(const TargetRun& run,
                                     const RequestFingerprint& request) const;
  void RecordTerminatedRun(const TerminationObserved& end, TimePoint at);
  // Withdraws first refusals that are no longer justified because another
  // request at the same target turned out to be the likelier cause.
  void ReviewOtherRequestsAt(const TargetRun& run,
                             const RequestFingerprint& request);
  // Withdraws refusals that have not started yet if later reports show that
  // they are not justified, such as more terminations at the same time.
  void ReviewUndecidedRefusals(TimePoint now);
  Verdict VerdictOf(const Entry& entry, TimePoint now) const;
  QuarantineRecord ToRecord(const RequestFingerprint& request,
                            const Entry& entry,
                            TimePoint now) const;
  // Returns whether the verdict has changed.
  bool Clear(Entry& entry, TimePoint until, TimePoint now);
  Entry& EntryOf(const RequestFingerprint& request);
  // Evicts one entry if the maximum number is reached.
  void MakeRoom();

  QuarantineOptions options_;
  Entries entries_;
  // The requests that ran at a target when it terminated.
  struct TerminatedTarget {
    std::set<RequestFingerprint> requests;
    TimePoint at;
    // Whether one of them was the sole run of its request.
    bool had_sole_run = false;
  };
  std::map<TargetRun, TerminatedTarget> terminated_targets_;
  // Keys of `terminated_targets_`, oldest first.
  std::deque<TargetRun> terminated_runs_by_age_;
  // Requests whose refusal has not started yet.
  std::vector<RequestFingerprint> undecided_refusals_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_REGISTRY_H_
