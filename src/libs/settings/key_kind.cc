#include "libs/settings/key_kind.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <sstream>

#include "libs/base/overloaded.h"

namespace bilberryspool::settings {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPathLength = 4095;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) {
    return false;
  }
  if (std::isalnum(static_cast<unsigned char>(text.front())) == 0) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](unsigned char byte) {
    return std::isalnum(byte) != 0 || byte == '.' || byte == '_' || byte == '-';
  });
}

bool IsPath(const std::string& text) {
  return text.size() <= kMaxPathLength && text.find('\0') == std::string::npos;
}

std::optional<std::string> ToName(const RawValue& raw) {
  const auto* text = std::get_if<std::string>(&raw.value);
  if (text == nullptr || !IsName(*text)) {
    return std::nullopt;
  }
  return *text;
}

std::optional<SocketAddress> ToAddress(const RawValue& raw,
                                       bool may_be_wildcard) {
  const auto* text = std::get_if<std::string>(&raw.value);
  if (text == nullptr) {
    return std::nullopt;
  }
  auto address = ParseSocketAddress(*text);
  if (address && address->is_wildcard() && !may_be_wildcard) {
    return std::nullopt;
  }
  return address;
}

std::optional<InitialMember> ToMember(const RawValue& raw) {
  const auto* table = std::get_if<RawTable>(&raw.value);
  if (table == nullptr || table->size() != 2) {
    return std::nullopt;
  }
  std::optional<std::string> node;
  std::optional<SocketAddress> address;
  for (const auto& [key, value] : *table) {
    if (key == "node") {
      node = ToName(value);
    } else if (key == "address") {
      address = ToAddress(value, false);
    }
  }
  if (!node || !address) {
    return std::nullopt;
  }
  return InitialMember{NodeId(*node), *address};
}

// Converts all elements of a list. Returns std::nullopt if an element is
// invalid or repeated, or if there are fewer than `min_size`.
template <typename Element, typename ConvertElement>
std::optional<KeyValue> ToList(const RawValue& raw,
                               std::size_t min_size,
                               const ConvertElement& convert) {
  const auto* list = std::get_if<RawList>(&raw.value);
  if (list == nullptr || list->size() < min_size) {
    return std::nullopt;
  }
  std::vector<Element> elements;
  for (const RawValue& item : *list) {
    auto element = convert(item);
    if (!element) {
      return std::nullopt;
    }
    if (std::find(elements.begin(), elements.end(), *element) !=
        elements.end()) {
      return std::nullopt;
    }
    elements.push_back(std::move(*element));
  }
  return elements;
}

// Returns the text of a float, which the reader passes as text since most keys
// accept none, or of a number that is written as text.
const std::string* FindNumberText(const RawValue& raw) {
  if (const auto* other = std::get_if<OtherValue>(&raw.value)) {
    return &other->text;
  }
  return std::get_if<std::string>(&raw.value);
}

std::optional<double> ToNumber(const RawValue& raw) {
  if (const auto* whole = std::get_if<std::int64_t>(&raw.value)) {
    return static_cast<double>(*whole);
  }
  const std::string* text = FindNumberText(raw);
  if (text == nullptr) {
    return std::nullopt;
  }
  double number = 0.0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string ShortNumber(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

// Visitor of KeyKind that converts one value.
struct Converter {
  const RawValue& raw;

  std::optional<KeyValue> operator()(const FlagKind&) const {
    const auto* flag = std::get_if<bool>(&raw.value);
    return flag != nullptr ? std::optional<KeyValue>(*flag) : std::nullopt;
  }

  std::optional<KeyValue> operator()(const IntegerKind& kind) const {
    const auto* number = std::get_if<std::int64_t>(&raw.value);
    if (number == nullptr || *number < kind.min || *number > kind.max) {
      return std::nullopt;
    }
    return *number;
  }

  std::optional<KeyValue> operator()(const PathKind& kind) const {
    const auto* text = std::get_if<std::string>(&raw.value);
    if (text == nullptr || !IsPath(*text)) {
      return std::nullopt;
    }
    if (text->empty() && !kind.may_be_empty) {
      return std::nullopt;
    }
    return *text;
  }

  std::optional<KeyValue> operator()(const NameKind&) const {
    return ToName(raw);
  }

  std::optional<KeyValue> operator()(const NameListKind& kind) const {
    return ToList<std::string>(raw, kind.min_size, &ToName);
  }

  std::optional<KeyValue> operator()(const ChoiceKind& kind) const {
    const auto* text = std::get_if<std::string>(&raw.value);
    if (text == nullptr || std::find(kind.choices.begin(), kind.choices.end(),
                                     *text) == kind.choices.end()) {
      return std::nullopt;
    }
    return *text;
  }

  std::optional<KeyValue> operator()(const AddressKind& kind) const {
    return ToAddress(raw, kind.may_be_wildcard);
  }

  std::optional<KeyValue> operator()(const AddressListKind& kind) const {
    return ToList<SocketAddress>(raw, kind.min_size, [](const RawValue& item) {
      return ToAddress(item, false);
    });
  }

  std::optional<KeyValue> operator()(const MemberListKind&) const {
    return ToList<InitialMember>(raw, 0, &ToMember);
  }

  std::optional<KeyValue> operator()(const NumberKind& kind) const {
    const std::optional<double> number = ToNumber(raw);
    if (!number || !(*number >= kind.min && *number <= kind.max)) {
      return std::nullopt;
    }
    return *number;
  }
};

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

template <typename List, typename Render>
std::string Join(const List& list, const Render& render) {
  std::string text;
  for (const auto& item : list) {
    text += text.empty() ? "" : ", ";
    text += render(item);
  }
  return text;
}

std::string AtLeast(std::size_t size) {
  return size == 0 ? "" : ", at least " + std::to_string(size);
}

}  // namespace

std::optional<KeyValue> Convert(const KeyKind& kind, const RawValue& raw) {
  return std::visit(Converter{raw}, kind);
}

std::string DescribeAccepted(const KeyKind& kind) {
  const std::string name =
      "1 to 64 letters, digits, '.', '_' or '-', a letter or digit first";
  return std::visit(
      Overloaded{
          [](const FlagKind&) { return std::string("true or false"); },
          [](const IntegerKind& integer) {
            return "an integer from " + std::to_string(integer.min) + " to " +
                   std::to_string(integer.max);
          },
          [](const PathKind& path) {
            return std::string(path.may_be_empty ? "a path, or \"\""
                                                 : "a path");
          },
          [&](const NameKind&) { return "a name of " + name; },
          [&](const NameListKind& list) {
            return "a list of names without repeats" + AtLeast(list.min_size) +
                   ", each of " + name;
          },
          [](const ChoiceKind& choice) {
            return "one of " + Join(choice.choices, &Quote);
          },
          [](const AddressKind& address) {
            return std::string(
                address.may_be_wildcard
                    ? "\"ip:port\" or \"[ipv6]:port\", port 1 to 65535"
                    : "\"ip:port\" or \"[ipv6]:port\", port 1 to 65535, not "
                      "0.0.0.0 or [::]");
          },
          [](const AddressListKind& list) {
            return "a list of \"ip:port\" without repeats" +
                   AtLeast(list.min_size) + ", none 0.0.0.0 or [::]";
          },
          [](const MemberListKind&) {
            return std::string(
                "a list of { node = \"NAME\", address = \"ip:port\" } without "
                "repeats");
          },
          [](const NumberKind& number) {
            return "a number from " + ShortNumber(number.min) + " to " +
                   ShortNumber(number.max);
          },
      },
      kind);
}

std::string ToToml(const KeyValue& value) {
  const auto quote_address = [](const SocketAddress& address) {
    return Quote(address.ToString());
  };
  return std::visit(
      Overloaded{
          [](bool flag) { return std::string(flag ? "true" : "false"); },
          [](std::int64_t number) { return std::to_string(number); },
          [](double number) { return ShortNumber(number); },
          [](const std::string& text) { return Quote(text); },
          [](const std::vector<std::string>& list) {
            return "[" + Join(list, &Quote) + "]";
          },
          [&](const SocketAddress& address) { return quote_address(address); },
          [&](const std::vector<SocketAddress>& list) {
            return "[" + Join(list, quote_address) + "]";
          },
          [&](const std::vector<InitialMember>& list) {
            return "[" +
                   Join(list,
                        [&](const InitialMember& member) {
                          return "{ node = " + Quote(member.node.value()) +
                                 ", address = " +
                                 quote_address(member.address) + " }";
                        }) +
                   "]";
          },
      },
      value);
}

}  // namespace bilberryspool::settings
