#ifndef LIBS_CONFIG_MOVE_SPEC_H_
#define LIBS_CONFIG_MOVE_SPEC_H_

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/expert_key.h"

namespace bilberryspool::config {

// An operator's request to move an expert. It stays until it is cancelled or
// replaced; the version at which it was last modified distinguishes a new
// request from an old one.
struct MoveSpec {
  using Key = ExpertKey;
  static constexpr const char* kKind = "move";

  ExpertKey expert;
  RankIndex from;
  RankIndex to;

  Key key() const { return expert; }
  bool operator==(const MoveSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(MoveSpec, (), (expert, from, to))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_MOVE_SPEC_H_
