// What a gateway holds against requests: what control nodes tell, and what it
// has seen itself.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_QUARANTINE_QUARANTINE_VIEW_H_
#define LIBS_QUARANTINE_QUARANTINE_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/quarantine/quarantine_record.h"
#include "libs/quarantine/quarantine_registry.h"
#include "libs/quarantine/recent_completions.h"

namespace bilberryspool::quarantine {

struct QuarantineViewOptions {
  QuarantineOptions own;
  // What the gateway saw itself holds beside what control nodes tell until
  // they must have heard of it.
  Duration own_observation_lifetime = Seconds(2);
  std::size_t max_completions = 2048;
};

// The verdict, and what it rests on.
struct Judgement {
  Verdict verdict = Verdict::kFree;
  std::uint32_t terminations = 0;
  Duration since{};
  Duration remaining{};
  // The control node that told it; empty: seen by this gateway.
  std::string source;
  // Since the source told it.
  Duration age{};
};

class QuarantineView {
 public:
  explicit QuarantineView(QuarantineViewOptions options)
      : options_(options),
        own_(options.own),
        completions_(options.max_completions) {}

  // What the control node `source` tells; with `is_whole` all that it knows,
  // and what it told before is forgotten. Returns the completions that clear
  // requests of it, which the control nodes have to hear of.
  std::vector<CompletionObserved> Adopt(
      const std::string& source,
      const std::vector<QuarantineRecord>& records,
      bool is_whole,
      TimePoint now);
  // What is told by nodes that can't be reached counts only where none can.
  void SetReachable(const std::string& source, bool is_reachable);

  void OnTermination(const TerminationObserved& end, TimePoint now) {
    own_.OnTermination(end, now);
  }
  // Returns whether it clears the request of something.
  bool OnCompleted(const RequestFingerprint& request, TimePoint now);

  Judgement Judge(const RequestFingerprint& request, TimePoint now) const;
  // Leave to run the request where no control node can be asked.
  bool TryTrial(const RequestFingerprint& request,
                const std::string& requester,
                TimePoint now) {
    return own_.TryTrial(request, requester, now);
  }
  void OnTrialOver(const TrialOver& over) { own_.OnTrialOver(over); }
  void Tick(TimePoint now) { own_.Tick(now); }
  // What this gateway has seen, for a control node that has started anew.
  std::vector<TerminationObserved> OwnTerminations(TimePoint now) const {
    return own_.Terminations(now);
  }
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
  };

  bool IsInCompletionGracePeriod(const RequestFingerprint& request,
                                 TimePoint now) const;

  QuarantineViewOptions options_;
  QuarantineRegistry own_;
  RecentCompletions completions_;
  std::map<std::string, Source> sources_;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_VIEW_H_
