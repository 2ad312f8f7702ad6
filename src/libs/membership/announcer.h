// The agent's side of membership: tells entries of its own failure domain
// that its target is there.
//
// Guards against: an entry that dies or goes silent (the next one by
// rendezvous rank takes over after one unanswered interval), entries that
// restart with empty memory (they ask for the full announcement), a clock set
// back across a restart (one step over the known incarnation), and a second
// process with the same identity (the lesser claim falls silent for good).

#ifndef LIBS_MEMBERSHIP_ANNOUNCER_H_
#define LIBS_MEMBERSHIP_ANNOUNCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/membership/announcer_action.h"
#include "libs/membership/announcer_event.h"

namespace bilberryspool::membership {

struct AnnouncerOptions {
  // The full description. Its incarnation must grow from start to start (the
  // wall clock's seconds will do); the nonce is drawn from the seed.
  Announcement description;
  std::vector<std::string> seeds;  // peer addresses of some entries
  // Heartbeats; entries of large domains ask for longer intervals.
  Duration interval = Seconds(1);
  Duration max_interval = Seconds(5);
  // Entries that get each full announcement; heartbeats go to the first.
  std::size_t fanout = 2;
  // How long an entry that did not answer is passed over.
  Duration silent_entry_backoff = Seconds(10);
};

class Announcer {
 public:
  Announcer(AnnouncerOptions options, std::uint64_t seed);

  std::vector<AnnouncerAction> Handle(const AnnouncerEvent& event,
                                      TimePoint now);
  // When to send the next AnnouncerTick; none once the identity is lost.
  std::optional<TimePoint> next_deadline() const;

  const Announcement& announcement() const { return announcement_; }
  bool identity_lost() const { return identity_lost_; }
  // Whether an entry has confirmed that the target is leaving: only then may
  // the process end without being missed as dead.
  bool leaving_confirmed() const { return leaving_confirmed_; }

 private:
  using Actions = std::vector<AnnouncerAction>;

  void Apply(const AnnouncerTick& event, TimePoint now, Actions* actions);
  void Apply(const DescriptionChanged& event, TimePoint now, Actions* actions);
  void Apply(const StateChanged& event, TimePoint now, Actions* actions);
  void Apply(const LoadMeasured& event, TimePoint now, Actions* actions);
  void Apply(const ReplyReceived& event, TimePoint now, Actions* actions);

  void Announce(TimePoint now, Actions* actions);
  void HandleSuperseded(const Claim& holder, TimePoint now, Actions* actions);
  void AvoidSilentEntry(TimePoint now);
  std::vector<std::string> SelectEntries(TimePoint now,
                                         std::size_t count) const;
  Duration NextInterval();

  AnnouncerOptions options_;
  Random random_;
  Announcement announcement_;
  LoadReport load_;
  TimePoint load_at_;
  std::vector<std::string> entries_;
  Duration interval_;
  std::map<std::string, TimePoint> avoided_until_;
  std::string awaiting_reply_from_;  // the entry whose answer is outstanding
  std::uint64_t heartbeat_number_ = 0;
  TimePoint next_tick_;
  bool accepted_ = false;
  bool identity_lost_ = false;
  bool leaving_confirmed_ = false;
  std::uint64_t confirmed_sequence_ = 0;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCER_H_
