#ifndef LIBS_CONFIG_FORBID_SPEC_H_
#define LIBS_CONFIG_FORBID_SPEC_H_

#include <tuple>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/expert_key.h"

namespace bilberryspool::config {

// Forbids an expert on a rank: it is never moved there.
struct ForbidSpec {
  struct Key {
    ExpertKey expert;
    RankIndex rank;

    bool operator==(const Key&) const = default;
    bool operator<(const Key& other) const {
      return std::tie(expert, rank) < std::tie(other.expert, other.rank);
    }
  };
  static constexpr const char* kKind = "forbid";

  ExpertKey expert;
  RankIndex rank;

  Key key() const { return {expert, rank}; }
  bool operator==(const ForbidSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(ForbidSpec, (), (expert, rank))
BOOST_DESCRIBE_STRUCT(ForbidSpec::Key, (), (expert, rank))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_FORBID_SPEC_H_
