// The refusal of something that terminates targets, and the single runs by
// which it is tried again.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_QUARANTINE_REFUSAL_H_
#define LIBS_QUARANTINE_REFUSAL_H_

#include <cstdint>
#include <string>

#include "libs/base/time.h"

namespace bilberryspool::quarantine {

struct RefusalOptions {
  // Duration of the first refusal, and the maximum; each one is twice as long
  // as the previous one.
  Duration first = Seconds(120);
  Duration longest = Seconds(3600);
  // A permitted run is assumed to be over after this time at the latest.
  Duration max_trial = Seconds(10);
};

class Refusal {
 public:
  explicit Refusal(RefusalOptions options) : options_(options) {}

  void Start(TimePoint from);
  // Merges a refusal that another node has decided.
  void Extend(TimePoint until, bool has_started);
  // Takes back a refusal as if it had not been decided. A permitted run stays
  // permitted.
  void Withdraw();
  // The same, and nobody holds the permission for a run.
  void Clear();

  bool is_in_force(TimePoint now) const { return now >= from_ && now < until_; }
  // Also true for a refusal that starts later.
  bool is_decided(TimePoint now) const { return now < until_; }
  TimePoint from() const { return from_; }
  TimePoint until() const { return until_; }
  // Number of refusals up to now.
  std::uint32_t count() const { return count_; }

  // Returns whether `requester` may run it now. While a permitted run is in
  // progress no other one is allowed. What was refused before is refused again
  // from the start of this run.
  bool TryTrial(const std::string& requester, TimePoint now);
  // Ends the permission, if the requester still holds it.
  void EndTrial(const std::string& requester);

  // Returns true once for each refusal that is in force.
  bool TakeNews(TimePoint now);

 private:
  RefusalOptions options_;
  TimePoint from_;
  TimePoint until_;
  std::uint32_t count_ = 0;
  bool is_reported_ = false;
  // Who holds the permission for a single run; empty if nobody does.
  std::string requester_;
  TimePoint trial_until_;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_REFUSAL_H_
