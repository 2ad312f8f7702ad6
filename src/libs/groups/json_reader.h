// Reads the fields of a JSON object and records whether any was missing or of
// the wrong type, so that decoders check for errors once, at the end.

#ifndef LIBS_GROUPS_JSON_READER_H_
#define LIBS_GROUPS_JSON_READER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/groups/group_types.h"

namespace bilberryspool::groups::internal {

class JsonReader {
 public:
  explicit JsonReader(const boost::json::value& json);

  // False once a field was missing or invalid.
  bool good() const { return good_; }
  bool Has(std::string_view name) const;

  std::uint64_t Number(std::string_view name);
  std::uint32_t SmallNumber(std::string_view name);
  bool Flag(std::string_view name);
  std::string Text(std::string_view name);
  placement::ExpertKey Key(std::string_view name);
  std::vector<placement::ExpertKey> Keys(std::string_view name);
  std::vector<RankIndex> Ranks(std::string_view name);
  ViewId ViewIdAt(std::string_view name);
  std::optional<ViewId> MaybeViewId(std::string_view name);
  StepId StepAt(std::string_view name);
  std::optional<StepId> MaybeStep(std::string_view name);
  Member MemberAt(std::string_view name);
  View ViewAt(std::string_view name);
  placement::ExpertMap Map(std::string_view name);

  template <typename Id>
  Id NumberAs(std::string_view name) {
    return Id(Number(name));
  }
  RankIndex Rank(std::string_view name) { return RankIndex(SmallNumber(name)); }

 private:
  const boost::json::value* Find(std::string_view name);
  // Reads the named array of non-negative numbers, which must have `size`
  // elements unless `size` is 0.
  std::vector<std::uint64_t> Numbers(std::string_view name, std::size_t size);

  const boost::json::object* object_ = nullptr;
  bool good_ = true;
};

}  // namespace bilberryspool::groups::internal

#endif  // LIBS_GROUPS_JSON_READER_H_
