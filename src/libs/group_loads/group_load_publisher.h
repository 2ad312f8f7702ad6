// Decides when the leader sends the loads of its groups to the gateways.
//
// Gateways poll the leader once a second anyway, and each answer has the newest
// loads. An answer before that is worth its processor time only while room is
// scarce, or when a group opens or closes, and the less often the more gateways
// there are.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_GROUP_LOADS_GROUP_LOAD_PUBLISHER_H_
#define LIBS_GROUP_LOADS_GROUP_LOAD_PUBLISHER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libs/base/time.h"
#include "libs/group_loads/group_load.h"

namespace bilberryspool::group_loads {

struct GroupLoadPublisherOptions {
  // Minimum time between two publications.
  Duration min_interval = Milliseconds(150);
  // Minimum time between two publications that gateways are sent at once, for
  // each gateway: it keeps a small node busy for a part of that.
  Duration urgent_interval_per_reader = Milliseconds(5);
  // Room is scarce while more than this part of any group's room is in use.
  double scarce_from = 0.6;
};

class GroupLoadPublisher {
 public:
  explicit GroupLoadPublisher(GroupLoadPublisherOptions options)
      : options_(options) {}

  // Sets the number of gateways.
  void SetReaders(std::size_t count) { readers_ = count; }
  // Offers the present loads; none if this node does not lead. Returns whether
  // gateways should be sent them at once.
  bool Offer(std::vector<GroupLoad> loads, TimePoint now);

  const std::vector<GroupLoad>& published() const { return published_; }
  // Increases with each publication.
  std::uint64_t revision() const { return revision_; }
  // The last revision that gateways should be sent at once.
  std::uint64_t urgent_revision() const { return urgent_revision_; }

 private:
  bool IsUrgent(const std::vector<GroupLoad>& loads, TimePoint now) const;

  GroupLoadPublisherOptions options_;
  std::size_t readers_ = 0;
  std::vector<GroupLoad> published_;
  TimePoint published_at_;
  TimePoint urgent_at_;
  std::uint64_t revision_ = 0;
  std::uint64_t urgent_revision_ = 0;
};

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_GROUP_LOAD_PUBLISHER_H_
