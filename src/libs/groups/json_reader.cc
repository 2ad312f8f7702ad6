#include "libs/groups/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <limits>

namespace bilberryspool::groups::internal {
namespace {

namespace json = boost::json;

// Limit on the experts of a map. Larger maps and lists are invalid input and
// would only use memory.
constexpr std::uint64_t kMaxExperts = 1U << 20U;

std::optional<std::uint64_t> NumberOf(const json::value& value) {
  json::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return number;
}

constexpr bool IsSmall(std::uint64_t number) {
  return number <= std::numeric_limits<std::uint32_t>::max();
}

std::optional<placement::ExpertMap> MapOf(const json::value& value) {
  JsonReader reader(value);
  const std::uint32_t layers = reader.SmallNumber("layers");
  const std::uint32_t experts = reader.SmallNumber("experts");
  const std::uint64_t count = std::uint64_t{layers} * experts;
  if (!reader.good() || count > kMaxExperts) {
    return std::nullopt;
  }
  const json::value* holders = value.as_object().if_contains("holders");
  const json::array* lists = holders == nullptr ? nullptr : holders->if_array();
  if (lists == nullptr || lists->size() != count) {
    return std::nullopt;
  }
  placement::ExpertMap map(layers, experts);
  for (std::uint32_t i = 0; i < count; ++i) {
    const json::array* ranks = (*lists)[i].if_array();
    if (ranks == nullptr) {
      return std::nullopt;
    }
    for (const json::value& rank : *ranks) {
      const std::optional<std::uint64_t> number = NumberOf(rank);
      if (!number || !IsSmall(*number)) {
        return std::nullopt;
      }
      map.Add({placement::LayerIndex(i / experts), ExpertIndex(i % experts)},
              RankIndex(static_cast<std::uint32_t>(*number)));
    }
  }
  return map;
}

}  // namespace

JsonReader::JsonReader(const json::value& json) : object_(json.if_object()) {
  good_ = object_ != nullptr;
}

bool JsonReader::Has(std::string_view name) const {
  return object_ != nullptr && object_->if_contains(name) != nullptr;
}

const json::value* JsonReader::Find(std::string_view name) {
  const json::value* found =
      object_ == nullptr ? nullptr : object_->if_contains(name);
  good_ = good_ && found != nullptr;
  return found;
}

std::uint64_t JsonReader::Number(std::string_view name) {
  const json::value* found = Find(name);
  const std::optional<std::uint64_t> number =
      found == nullptr ? std::nullopt : NumberOf(*found);
  good_ = good_ && number.has_value();
  return number.value_or(0);
}

std::uint32_t JsonReader::SmallNumber(std::string_view name) {
  const std::uint64_t number = Number(name);
  good_ = good_ && IsSmall(number);
  return static_cast<std::uint32_t>(number);
}

bool JsonReader::Flag(std::string_view name) {
  const json::value* found = Find(name);
  const bool* flag = found == nullptr ? nullptr : found->if_bool();
  good_ = good_ && flag != nullptr;
  return flag != nullptr && *flag;
}

std::string JsonReader::Text(std::string_view name) {
  const json::value* found = Find(name);
  const json::string* text = found == nullptr ? nullptr : found->if_string();
  good_ = good_ && text != nullptr;
  return text == nullptr ? std::string() : std::string(text->c_str());
}

std::vector<std::uint64_t> JsonReader::Numbers(std::string_view name,
                                               std::size_t size) {
  std::vector<std::uint64_t> numbers;
  const json::value* found = Find(name);
  const json::array* list = found == nullptr ? nullptr : found->if_array();
  if (list == nullptr || list->size() > 2 * kMaxExperts) {
    good_ = false;
    numbers.resize(size);
    return numbers;
  }
  for (const json::value& each : *list) {
    const std::optional<std::uint64_t> number = NumberOf(each);
    good_ = good_ && number.has_value();
    numbers.push_back(number.value_or(0));
  }
  if (size != 0 && numbers.size() != size) {
    good_ = false;
    numbers.resize(size);
  }
  return numbers;
}

placement::ExpertKey JsonReader::Key(std::string_view name) {
  const std::vector<std::uint64_t> numbers = Numbers(name, 2);
  good_ = good_ && IsSmall(numbers[0]) && IsSmall(numbers[1]);
  return {placement::LayerIndex(static_cast<std::uint32_t>(numbers[0])),
          ExpertIndex(static_cast<std::uint32_t>(numbers[1]))};
}

std::vector<placement::ExpertKey> JsonReader::Keys(std::string_view name) {
  const std::vector<std::uint64_t> numbers = Numbers(name, 0);
  good_ = good_ && numbers.size() % 2 == 0;
  std::vector<placement::ExpertKey> keys;
  for (std::size_t i = 0; i + 1 < numbers.size(); i += 2) {
    good_ = good_ && IsSmall(numbers[i]) && IsSmall(numbers[i + 1]);
    keys.push_back(
        {placement::LayerIndex(static_cast<std::uint32_t>(numbers[i])),
         ExpertIndex(static_cast<std::uint32_t>(numbers[i + 1]))});
  }
  return keys;
}

std::vector<RankIndex> JsonReader::Ranks(std::string_view name) {
  std::vector<RankIndex> ranks;
  for (const std::uint64_t number : Numbers(name, 0)) {
    good_ = good_ && IsSmall(number);
    ranks.emplace_back(static_cast<std::uint32_t>(number));
  }
  return ranks;
}

ViewId JsonReader::ViewIdAt(std::string_view name) {
  const std::vector<std::uint64_t> numbers = Numbers(name, 2);
  return {FencingToken(numbers[0]), numbers[1]};
}

std::optional<ViewId> JsonReader::MaybeViewId(std::string_view name) {
  return Has(name) ? std::optional(ViewIdAt(name)) : std::nullopt;
}

StepId JsonReader::StepAt(std::string_view name) {
  const std::vector<std::uint64_t> numbers = Numbers(name, 3);
  return {{FencingToken(numbers[0]), numbers[1]}, numbers[2]};
}

std::optional<StepId> JsonReader::MaybeStep(std::string_view name) {
  return Has(name) ? std::optional(StepAt(name)) : std::nullopt;
}

Member JsonReader::MemberAt(std::string_view name) {
  const std::vector<std::uint64_t> numbers = Numbers(name, 2);
  good_ = good_ && IsSmall(numbers[0]);
  return {RankIndex(static_cast<std::uint32_t>(numbers[0])),
          Incarnation(numbers[1])};
}

// The member list must not be empty, and each rank must be there once and in
// ascending order, because steps rely on it.
View JsonReader::ViewAt(std::string_view name) {
  View view;
  const json::value* found = Find(name);
  if (found == nullptr) {
    return view;
  }
  JsonReader reader(*found);
  view.id = reader.ViewIdAt("id");
  view.map_version = reader.NumberAs<MapVersion>("map_version");
  const std::vector<std::uint64_t> numbers = reader.Numbers("members", 0);
  bool ordered = !numbers.empty() && numbers.size() % 2 == 0;
  for (std::size_t i = 0; i + 1 < numbers.size(); i += 2) {
    ordered = ordered && IsSmall(numbers[i]);
    const Member member{RankIndex(static_cast<std::uint32_t>(numbers[i])),
                        Incarnation(numbers[i + 1])};
    ordered = ordered &&
              (view.members.empty() || view.members.back().rank < member.rank);
    view.members.push_back(member);
  }
  good_ = good_ && reader.good() && ordered;
  return view;
}

placement::ExpertMap JsonReader::Map(std::string_view name) {
  const json::value* found = Find(name);
  std::optional<placement::ExpertMap> map =
      found == nullptr ? std::nullopt : MapOf(*found);
  good_ = good_ && map.has_value();
  return map ? std::move(*map) : placement::ExpertMap();
}

}  // namespace bilberryspool::groups::internal
