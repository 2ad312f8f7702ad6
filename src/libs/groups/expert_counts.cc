#include "libs/groups/expert_counts.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/groups/json_reader.h"

namespace bilberryspool::groups {

namespace json = boost::json;

namespace {

// Far above any real window; keeps sums of windows in range.
constexpr std::uint64_t kMaxWindowUs = 3600ULL * 1000 * 1000;

}  // namespace

json::value ToJson(const ExpertCounts& counts) {
  const auto window =
      std::chrono::duration_cast<std::chrono::microseconds>(counts.window);
  return json::object{
      {"group", counts.group.value()},
      {"rank", counts.rank.value()},
      {"incarnation", counts.incarnation.value()},
      {"number", counts.number},
      {"window_us", static_cast<std::uint64_t>(window.count())},
      {"layers", counts.layers},
      {"experts", counts.experts},
      {"tokens", json::array(counts.tokens.begin(), counts.tokens.end())}};
}

std::optional<ExpertCounts> ExpertCountsFromJson(const json::value& json) {
  internal::JsonReader reader(json);
  ExpertCounts counts;
  counts.group = GroupId(reader.Text("group"));
  counts.rank = reader.Rank("rank");
  counts.incarnation = reader.NumberAs<Incarnation>("incarnation");
  counts.number = reader.Number("number");
  const std::uint64_t window = reader.Number("window_us");
  counts.layers = reader.SmallNumber("layers");
  counts.experts = reader.SmallNumber("experts");
  const auto* object = json.if_object();
  const auto* tokens = object ? object->if_contains("tokens") : nullptr;
  const bool is_valid = reader.good() && window <= kMaxWindowUs &&
                        tokens != nullptr && tokens->is_array();
  if (!is_valid) {
    return std::nullopt;
  }
  counts.window = Microseconds(static_cast<std::int64_t>(window));
  for (const json::value& item : tokens->as_array()) {
    boost::system::error_code error;
    counts.tokens.push_back(item.to_number<std::uint64_t>(error));
    if (error) {
      return std::nullopt;
    }
  }
  const std::uint64_t places =
      static_cast<std::uint64_t>(counts.layers) * counts.experts;
  return counts.tokens.size() == places ? std::make_optional(counts)
                                        : std::nullopt;
}

}  // namespace bilberryspool::groups
