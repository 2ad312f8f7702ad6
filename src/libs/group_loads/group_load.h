// The load of a lock-step group, as its leader reports it to gateways.

#ifndef LIBS_GROUP_LOADS_GROUP_LOAD_H_
#define LIBS_GROUP_LOADS_GROUP_LOAD_H_

#include <cstdint>
#include <numeric>
#include <vector>

#include "libs/base/ids.h"

namespace bilberryspool::group_loads {

struct GroupLoad {
  GroupId group;
  ServiceId service;
  // Whether the group has all its ranks and steps.
  bool is_open = true;
  // Number of requests with which steps stay within the pauses that callers
  // accept.
  std::uint32_t room = 0;
  // Number of requests at each rank, running or waiting.
  std::vector<std::uint32_t> by_rank;

  std::uint32_t requests() const {
    return std::accumulate(by_rank.begin(), by_rank.end(), 0U);
  }

  bool operator==(const GroupLoad&) const = default;
};

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_GROUP_LOAD_H_
