#ifndef LIBS_CONFIG_EXPERT_KEY_H_
#define LIBS_CONFIG_EXPERT_KEY_H_

#include <cstdint>
#include <tuple>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// One expert of one layer of a group.
struct ExpertKey {
  GroupId group;
  std::uint32_t layer = 0;
  ExpertIndex expert;

  bool operator==(const ExpertKey&) const = default;
  bool operator<(const ExpertKey& other) const {
    return std::tie(group, layer, expert) <
           std::tie(other.group, other.layer, other.expert);
  }
};
BOOST_DESCRIBE_STRUCT(ExpertKey, (), (group, layer, expert))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_EXPERT_KEY_H_
