// The list of all gateways that have ever been part of the deployment, in the
// order in which they appeared.
//
// Part of the state that the control replicas' log determines. Names are only
// appended, so each gateway keeps its index for good, and what is divided by
// index never has two owners that both know the same list. The first ones are
// confirmed: all others have heard of them, so that they may use their part.
//
// Pure and deterministic.

#ifndef LIBS_COLD_TARGETS_GATEWAY_ROSTER_H_
#define LIBS_COLD_TARGETS_GATEWAY_ROSTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/cold_targets/gateway_seat.h"

namespace bilberryspool::cold_targets {

class GatewayRoster {
 public:
  // A change: names to append, and the number of gateways that are confirmed.
  struct Change {
    std::vector<std::string> names;
    std::uint64_t confirmed = 0;
  };

  // Encodes a change as one line of text without line breaks.
  static std::string Encode(const Change& change);

  // Appends the names of an encoded change that are not listed yet, and
  // increases the number of confirmed gateways. Returns whether anything has
  // changed; malformed text changes nothing.
  bool Apply(std::string_view encoded);

  // Nothing if the gateway is not listed.
  std::optional<GatewaySeat> SeatOf(const std::string& name) const;
  bool Contains(const std::string& name) const {
    return indexes_.contains(name);
  }
  const std::vector<std::string>& names() const { return names_; }
  std::size_t size() const { return names_.size(); }

  std::uint64_t confirmed() const { return confirmed_; }

  // The change that makes an empty roster equal to this one, encoded.
  std::string Export() const { return Encode({names_, confirmed_}); }

 private:
  std::vector<std::string> names_;
  std::map<std::string, std::uint64_t> indexes_;
  std::uint64_t confirmed_ = 0;
};

}  // namespace bilberryspool::cold_targets

#endif  // LIBS_COLD_TARGETS_GATEWAY_ROSTER_H_
