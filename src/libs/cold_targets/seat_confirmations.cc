#include "libs/cold_targets/seat_confirmations.h"

#include <algorithm>

#include "libs/cold_targets/place_owner.h"

namespace bilberryspool::cold_targets {

namespace {

// A gateway that was not heard for this long counts as gone.
constexpr Duration kRetention = Seconds(60);

}  // namespace

void SeatConfirmations::OnQuery(const std::string& gateway,
                                std::uint64_t count,
                                TimePoint now) {
  Known& known = known_[gateway];
  known.last_query_at = now;
  if (count != known.count) {
    known.count_before = known.count;
    known.count = count;
    known.since = now;
  }
}

std::uint64_t SeatConfirmations::CountConfirmed(const GatewayRoster& roster,
                                                TimePoint now) const {
  std::uint64_t confirmed = roster.size();
  for (const std::string& name : roster.names()) {
    const auto found = known_.find(name);
    const bool is_gone = found == known_.end()
                             ? now - started_at_ > kRetention
                             : now - found->second.last_query_at > kRetention;
    if (is_gone) {
      continue;
    }
    if (found == known_.end()) {
      return 0;
    }
    const Known& known = found->second;
    confirmed = std::min(confirmed, now - known.since >= kPlaceInterval
                                        ? known.count
                                        : known.count_before);
  }
  return confirmed;
}

}  // namespace bilberryspool::cold_targets
