#include "libs/telemetry/label.h"

#include <algorithm>
#include <cctype>

namespace bilberryspool::telemetry {

bool IsLabelName(std::string_view name) {
  if (name.empty() || std::isdigit(static_cast<unsigned char>(name[0])) != 0) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](unsigned char byte) {
    return std::isalnum(byte) != 0 || byte == '_';
  });
}

bool IsMetricName(std::string_view name) {
  std::string without_colons(name);
  std::replace(without_colons.begin(), without_colons.end(), ':', '_');
  return IsLabelName(without_colons);
}

}  // namespace bilberryspool::telemetry
