#include "libs/cold_targets/gateway_roster.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "libs/base/json_reading.h"

namespace bilberryspool::cold_targets {

namespace json = boost::json;

namespace {

// Bounds memory; far more than the processes of the largest deployment.
constexpr std::size_t kMaxGateways = 10'000;

}  // namespace

std::string GatewayRoster::Encode(const Change& change) {
  json::array names;
  for (const std::string& name : change.names) {
    names.emplace_back(name);
  }
  return json::serialize(json::object{{"names", std::move(names)},
                                      {"confirmed", change.confirmed}});
}

bool GatewayRoster::Apply(std::string_view encoded) {
  const auto object = json_reading::ParseObject(encoded);
  const json::array* names =
      object.has_value() ? json_reading::List(*object, "names") : nullptr;
  const auto confirmed = object.has_value()
                             ? json_reading::Number(*object, "confirmed")
                             : std::nullopt;
  if (names == nullptr || !confirmed.has_value()) {
    return false;
  }
  bool is_changed = false;
  for (const json::value& item : *names) {
    if (!item.is_string() || names_.size() >= kMaxGateways) {
      continue;
    }
    std::string name(item.get_string());
    if (indexes_.try_emplace(name, names_.size()).second) {
      names_.push_back(std::move(name));
      is_changed = true;
    }
  }
  if (*confirmed > confirmed_ && *confirmed <= names_.size()) {
    confirmed_ = *confirmed;
    is_changed = true;
  }
  return is_changed;
}

std::optional<GatewaySeat> GatewayRoster::SeatOf(
    const std::string& name) const {
  const auto found = indexes_.find(name);
  return found == indexes_.end()
             ? std::nullopt
             : std::optional(GatewaySeat{found->second, names_.size(),
                                         found->second < confirmed_});
}

}  // namespace bilberryspool::cold_targets
