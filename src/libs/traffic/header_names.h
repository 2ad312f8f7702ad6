// The names of the header fields of requests and responses. This library
// defines the meaning of the fields; the program that is built for a deployment
// sets their names.

#ifndef LIBS_TRAFFIC_HEADER_NAMES_H_
#define LIBS_TRAFFIC_HEADER_NAMES_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "libs/traffic/traffic_configuration.h"

namespace bilberryspool::traffic {

struct HeaderNames {
  // From a caller: the id of the request; each retry of a caller has its own.
  std::string request_id;
  // From a caller: its timeout in milliseconds. To a target: the milliseconds
  // left.
  std::string deadline_ms;
  // From a caller: its key; never forwarded.
  std::string key;
  // To a target: the workspace that the key belongs to.
  std::string workspace;
  // To a target: the target that is meant; any other one refuses the request.
  std::string expected_target;
  // To an engine: the priority from 0 (highest) to 9.
  std::string priority;
  // From a caller: the parts of the prompt, see ReadSharedPromptParts().
  std::string prompt_parts;
  // From a target: it did not run the request and never will.
  std::string not_executed;
  // From a target: the signature of its response; forwarded to the caller.
  std::string signature;
  // From a target: "RUNNING,WAITING,SLOTS".
  std::string load;
  // From a target that refuses a request: the target at fault, if known.
  std::string at_fault;
  // From a target: the number of requests per second that it accepts from all
  // callers together. Valid as long as the target sends it.
  std::string limit;
  // From a target: "1" in all answers once it is about to terminate.
  std::string leaving;
};

// Parses a complete configuration as sent by the operator, or returns a
// sentence that describes the error. Does not call FindFault().
using ConfigurationReader =
    std::function<std::variant<TrafficConfiguration, std::string>(
        std::string_view text)>;

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_HEADER_NAMES_H_
