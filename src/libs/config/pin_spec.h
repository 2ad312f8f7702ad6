#ifndef LIBS_CONFIG_PIN_SPEC_H_
#define LIBS_CONFIG_PIN_SPEC_H_

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/expert_key.h"

namespace bilberryspool::config {

// Keeps an expert on a rank.
struct PinSpec {
  using Key = ExpertKey;
  static constexpr const char* kKind = "pin";

  ExpertKey expert;
  RankIndex rank;

  Key key() const { return expert; }
  bool operator==(const PinSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(PinSpec, (), (expert, rank))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_PIN_SPEC_H_
