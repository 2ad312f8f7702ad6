// Agent side of membership: announces the target to entries of its own failure
// domain and sends heartbeats.
//
// Failures handled:
// - An entry stops responding: the next one by rendezvous rank takes over after
//   one unanswered interval.
// - An entry restarts without state: it requests the full announcement.
// - The clock is set back across a restart: the announcer once chooses an
//   incarnation above the known one.
// - A second process has the same identity: the one with the lesser claim stops
//   sending permanently.

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
  // Full description. Its incarnation must increase with each start, for
  // example the wall clock time in seconds; the nonce is drawn from the seed.
  Announcement description;
  std::vector<std::string> seeds;  // peer addresses of initial entries
  // Heartbeat interval. Entries of large domains request longer ones, up to
  // `max_interval`.
  Duration interval = Seconds(1);
  Duration max_interval = Seconds(5);
  // Number of entries that receive each full announcement; heartbeats are sent
  // to the first of them only.
  std::size_t fanout = 2;
  // Time for which an entry that did not respond is avoided.
  Duration silent_entry_backoff = Seconds(10);
};

// State machine without I/O: Handle() returns the messages to send.
class Announcer {
 public:
  Announcer(AnnouncerOptions options, std::uint64_t seed);

  std::vector<AnnouncerAction> Handle(const AnnouncerEvent& event,
                                      TimePoint now);
  // Time of the next AnnouncerTick; nothing once the identity is lost.
  std::optional<TimePoint> next_deadline() const;

  const Announcement& announcement() const { return announcement_; }
  bool identity_lost() const { return identity_lost_; }
  // Whether an entry has confirmed that the target is leaving. If the process
  // ends before, the entries treat the target as failed.
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
  std::string awaiting_reply_from_;  // entry whose response is outstanding
  std::uint64_t heartbeat_number_ = 0;
  TimePoint next_tick_;
  bool accepted_ = false;
  bool identity_lost_ = false;
  bool leaving_confirmed_ = false;
  std::uint64_t confirmed_sequence_ = 0;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCER_H_
