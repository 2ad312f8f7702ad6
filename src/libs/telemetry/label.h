#ifndef LIBS_TELEMETRY_LABEL_H_
#define LIBS_TELEMETRY_LABEL_H_

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bilberryspool::telemetry {

// One dimension of a metric, such as outcome="ok". `name` is defined by the
// program; `value` may be external input.
struct Label {
  std::string name;
  std::string value;

  bool operator==(const Label&) const = default;
  bool operator<(const Label& other) const {
    return std::tie(name, value) < std::tie(other.name, other.value);
  }
};

using Labels = std::vector<Label>;

// Returns whether `name` is a valid Prometheus metric name: letters, digits,
// '_' and ':', not starting with a digit.
bool IsMetricName(std::string_view name);

// Same for a label name, which must not contain ':'.
bool IsLabelName(std::string_view name);

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LABEL_H_
