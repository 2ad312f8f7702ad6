#include "libs/language/grammar_tokens.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::language::internal {
namespace {

constexpr std::uint32_t kMinutesPerHour = 60;
constexpr std::uint32_t kHoursPerDay = 24;

struct DurationUnit {
  std::string_view name;
  Duration length;
};

constexpr DurationUnit kDurationUnits[] = {{"us", Microseconds(1)},
                                           {"ms", Milliseconds(1)},
                                           {"s", Seconds(1)},
                                           {"m", Seconds(60)},
                                           {"h", Seconds(3600)}};

// Whether a word or number that was read up to `end` is complete, i.e. isn't
// followed by further name characters.
bool IsTokenEnd(const char* end, const char* last) {
  return end == last || !IsNameCharacter(*end);
}

template <typename Number>
bool ReadDigits(const char*& first, const char* last, Number& value) {
  const auto [end, error] = std::from_chars(first, last, value);
  if (error != std::errc() || end == first) {
    return false;
  }
  first = end;
  return true;
}

template <typename Number>
bool ReadWholeNumber(const char*& first, const char* last, Number& value) {
  const char* end = first;
  if (!ReadDigits(end, last, value) || !IsTokenEnd(end, last)) {
    return false;
  }
  first = end;
  return true;
}

bool ReadTimeOfDay(const char*& first, const char* last, std::uint32_t& value) {
  std::uint32_t hours = 0;
  std::uint32_t minutes = 0;
  if (!ReadDigits(first, last, hours) || !ReadSign(first, last, ":") ||
      !ReadDigits(first, last, minutes)) {
    return false;
  }
  value = hours * kMinutesPerHour + minutes;
  return hours < kHoursPerDay && minutes < kMinutesPerHour;
}

}  // namespace

bool IsNameCharacter(char character) {
  const bool letter = (character >= 'a' && character <= 'z') ||
                      (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit ||
         std::string_view("._-/:").find(character) != std::string_view::npos;
}

bool ReadName(const char*& first, const char* last, std::string& value) {
  const char* end = std::find_if_not(first, last, &IsNameCharacter);
  if (end == first) {
    return false;
  }
  value.assign(first, end);
  first = end;
  return true;
}

bool ReadQuoted(const char*& first, const char* last, std::string& value) {
  if (first == last || *first != '"') {
    return false;
  }
  const char* end = std::find(first + 1, last, '"');
  if (end == last) {
    return false;
  }
  value.assign(first + 1, end);
  first = end + 1;
  return true;
}

bool ReadText(const char*& first, const char* last, std::string& value) {
  return ReadQuoted(first, last, value) || ReadName(first, last, value);
}

bool ReadNumber(const char*& first, const char* last, std::uint32_t& value) {
  return ReadWholeNumber(first, last, value);
}

bool ReadNumber(const char*& first, const char* last, std::uint64_t& value) {
  return ReadWholeNumber(first, last, value);
}

bool ReadDecimal(const char*& first, const char* last, double& value) {
  return ReadWholeNumber(first, last, value) && std::isfinite(value);
}

bool ReadDuration(const char*& first, const char* last, Duration& value) {
  const char* end = first;
  std::uint32_t count = 0;
  if (!ReadDigits(end, last, count)) {
    return false;
  }
  for (const DurationUnit& unit : kDurationUnits) {
    if (ReadWord(end, last, unit.name)) {
      value = static_cast<std::int64_t>(count) * unit.length;
      first = end;
      return true;
    }
  }
  return false;
}

bool ReadWindow(const char*& first,
                const char* last,
                config::QuietWindow& value) {
  const char* end = first;
  if (!ReadTimeOfDay(end, last, value.start) || !ReadSign(end, last, "-") ||
      !ReadTimeOfDay(end, last, value.end) || !IsTokenEnd(end, last)) {
    return false;
  }
  first = end;
  return true;
}

bool ReadComparison(const char*& first, const char* last, Comparison& value) {
  for (const ComparisonSign& sign : kComparisonSigns) {
    if (ReadSign(first, last, sign.sign)) {
      value = sign.comparison;
      return true;
    }
  }
  return false;
}

bool ReadWord(const char*& first, const char* last, std::string_view word) {
  const char* end = first;
  if (!ReadSign(end, last, word) || !IsTokenEnd(end, last)) {
    return false;
  }
  first = end;
  return true;
}

bool ReadSign(const char*& first, const char* last, std::string_view sign) {
  const std::string_view rest(first, static_cast<std::size_t>(last - first));
  if (!rest.starts_with(sign)) {
    return false;
  }
  first += sign.size();
  return true;
}

}  // namespace bilberryspool::language::internal
