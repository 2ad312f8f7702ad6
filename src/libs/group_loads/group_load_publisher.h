// Decides when the leader publishes the loads of its groups to the gateways.
//
// Each publication is an answer to every gateway, which takes a small node some
// time. Loads are therefore published less often to many gateways, and less
// often while the groups have plenty of room.
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
  Duration min_interval = Milliseconds(150);
  // Minimum interval for each gateway: publications keep the leader busy for a
  // small part of its time.
  Duration interval_per_reader = Microseconds(2500);
  // With less of their room in use, groups are published at `slack_interval`.
  double slack_fraction = 0.4;
  Duration slack_interval = Milliseconds(500);
};

class GroupLoadPublisher {
 public:
  explicit GroupLoadPublisher(GroupLoadPublisherOptions options)
      : options_(options) {}

  // Sets the number of gateways.
  void SetReaders(std::size_t count) { readers_ = count; }
  // Offers the present loads; none if this node does not lead. Returns whether
  // they are published.
  bool Offer(std::vector<GroupLoad> loads, TimePoint now);

  const std::vector<GroupLoad>& published() const { return published_; }
  // Increases with each publication.
  std::uint64_t revision() const { return revision_; }

 private:
  Duration Interval(const std::vector<GroupLoad>& loads) const;

  GroupLoadPublisherOptions options_;
  std::size_t readers_ = 0;
  std::vector<GroupLoad> published_;
  TimePoint published_at_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_GROUP_LOAD_PUBLISHER_H_
