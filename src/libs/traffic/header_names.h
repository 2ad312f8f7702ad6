// The names that a deployment gives to the header fields of requests and
// answers. The product says what a field means; what it is called is decided
// where the program is put together.

#ifndef LIBS_TRAFFIC_HEADER_NAMES_H_
#define LIBS_TRAFFIC_HEADER_NAMES_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "libs/traffic/traffic_configuration.h"

namespace bilberryspool::traffic {

struct HeaderNames {
  // Of the caller's request; each try of a caller has its own.
  std::string request_id;
  // How many milliseconds the caller waits; to a target: how many are left.
  std::string deadline_ms;
  // The caller's key; never passed on.
  std::string key;
  // To a target: the workspace that holds the key.
  std::string workspace;
  // To a target: the one that is meant; any other refuses.
  std::string expected_target;
  // To an engine: 0 (first) to 9.
  std::string priority;
  // From a target: it did not run the request and never will.
  std::string not_executed;
  // From a target: the signature over its answer, passed on.
  std::string signature;
  // From a target: "RUNNING,WAITING,SLOTS".
  std::string load;
  // From a target that refuses: the one that is at fault, where it knows.
  std::string at_fault;
  // From a target: requests a second that it takes from all callers together;
  // as long as it says so.
  std::string limit;
};

// Reads a whole configuration as the operator sends it; a sentence that says
// what is wrong where it can't be read. FindFault() is asked separately.
using ConfigurationReader =
    std::function<std::variant<TrafficConfiguration, std::string>(
        std::string_view text)>;

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_HEADER_NAMES_H_
