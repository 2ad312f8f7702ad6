#include "libs/cold_targets/cold_start_limiter.h"

#include <algorithm>
#include <utility>

#include "libs/cold_targets/place_owner.h"

namespace bilberryspool::cold_targets {

namespace {

constexpr double kMaxPlaces = 1000.0;

}  // namespace

ColdStartLimiter::ColdStartLimiter(ColdStartLimiterOptions options,
                                   TimePoint started_at)
    : options_(options), usable_from_(started_at + options.start_pause) {}

void ColdStartLimiter::SetRates(std::map<ServiceId, double> rates) {
  if (rates != rates_) {
    rates_ = std::move(rates);
    places_.clear();
  }
}

void ColdStartLimiter::SetSeat(const GatewaySeat& seat) {
  const bool was_confirmed = seat_.has_value() && seat_->is_confirmed;
  if (!seat_.has_value() || seat.count > seat_->count) {
    seat_ = seat;
  }
  seat_->is_confirmed = was_confirmed || seat.is_confirmed;
  places_.clear();
}

void ColdStartLimiter::Take(const ServiceId& service,
                            const TargetId& target,
                            TimePoint now) {
  if (IsLimited(service)) {
    sent_[target].push_back(now);
  }
}

std::optional<Duration> ColdStartLimiter::WaitFor(const ServiceId& service,
                                                  const TargetId& target,
                                                  TimePoint now) const {
  if (!IsLimited(service)) {
    return Duration::zero();
  }
  const std::uint64_t places = PlacesOf(service, target);
  if (places == 0) {
    return std::nullopt;
  }
  const Duration pause = std::max(usable_from_ - now, Duration::zero());
  const auto found = sent_.find(target);
  if (found == sent_.end() || found->second.size() < places) {
    return pause;
  }
  // The request that was sent `places` requests ago has used the place that
  // becomes free next.
  const TimePoint used_at = found->second[found->second.size() - places];
  return std::max({pause, used_at + kPlaceInterval - now, Duration::zero()});
}

ColdStartLimiter::PlaceUse ColdStartLimiter::UseOf(const ServiceId& service,
                                                   const TargetId& target,
                                                   TimePoint now) const {
  PlaceUse use;
  if (!IsLimited(service)) {
    return use;
  }
  use.places = PlacesOf(service, target);
  const auto found = sent_.find(target);
  if (found != sent_.end()) {
    use.sent = static_cast<std::uint64_t>(std::count_if(
        found->second.begin(), found->second.end(),
        [now](TimePoint sent_at) { return now - sent_at < kPlaceInterval; }));
  }
  return use;
}

void ColdStartLimiter::Tick(TimePoint now) {
  for (auto& [target, times] : sent_) {
    while (!times.empty() && now - times.front() >= kPlaceInterval) {
      times.pop_front();
    }
  }
  std::erase_if(sent_, [](const auto& item) { return item.second.empty(); });
}

std::uint64_t ColdStartLimiter::PlacesOf(const ServiceId& service,
                                         const TargetId& target) const {
  if (!seat_.has_value() || !seat_->is_confirmed) {
    return 0;
  }
  const auto [found, is_new] = places_.try_emplace(target, 0);
  if (is_new) {
    const double allowed =
        options_.overage * rates_.at(service) + options_.slack;
    found->second = CountOwnPlaces(
        target.value(),
        static_cast<std::uint64_t>(std::clamp(allowed, 1.0, kMaxPlaces)),
        *seat_);
  }
  return found->second;
}

}  // namespace bilberryspool::cold_targets
