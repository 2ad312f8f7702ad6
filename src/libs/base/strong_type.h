// Strong types: values of different meaning that can't be mixed up by accident.

#ifndef LIBS_BASE_STRONG_TYPE_H_
#define LIBS_BASE_STRONG_TYPE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bilberryspool {

// A value of type `Value` that can only be compared with values of the same
// `Tag`.
template <typename Tag, typename Value>
class StrongType {
 public:
  using ValueType = Value;

  StrongType() = default;
  explicit StrongType(Value value) : value_(std::move(value)) {}

  const Value& value() const { return value_; }

  auto operator<=>(const StrongType&) const = default;
  bool operator==(const StrongType&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongType& id) {
    return out << id.value_;
  }

 private:
  Value value_{};
};

template <typename Tag>
using StringId = StrongType<Tag, std::string>;

// A counter that only increases: versions, terms, incarnations, fencing tokens.
template <typename Tag>
class StrongNumber : public StrongType<Tag, std::uint64_t> {
 public:
  using StrongType<Tag, std::uint64_t>::StrongType;

  StrongNumber Next() const { return StrongNumber(this->value() + 1); }
};

}  // namespace bilberryspool

template <typename Tag, typename Value>
struct std::hash<bilberryspool::StrongType<Tag, Value>> {
  std::size_t operator()(
      const bilberryspool::StrongType<Tag, Value>& id) const {
    return std::hash<Value>()(id.value());
  }
};

template <typename Tag>
struct std::hash<bilberryspool::StrongNumber<Tag>> {
  std::size_t operator()(const bilberryspool::StrongNumber<Tag>& id) const {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // LIBS_BASE_STRONG_TYPE_H_
