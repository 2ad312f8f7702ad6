#include "libs/limits/sliced_count.h"

namespace bilberryspool::limits {

void SlicedCount::Add(TimePoint now) {
  while (!slices_.empty() &&
         slices_.front().begin + slice_ + retention_ < now) {
    slices_.pop_front();
  }
  if (slices_.empty() || now >= slices_.back().begin + slice_) {
    slices_.push_back({now, 0});
  }
  ++slices_.back().count;
}

std::uint64_t SlicedCount::AtLeastSince(TimePoint from) const {
  std::uint64_t count = 0;
  for (auto it = slices_.rbegin(); it != slices_.rend() && it->begin > from;
       ++it) {
    count += it->count;
  }
  return count;
}

std::uint64_t SlicedCount::AtMostSince(TimePoint from) const {
  std::uint64_t count = 0;
  for (auto it = slices_.rbegin();
       it != slices_.rend() && it->begin + slice_ > from; ++it) {
    count += it->count;
  }
  return count;
}

}  // namespace bilberryspool::limits
