// What the control replicas' log decides: the configuration, and the requests
// that are refused since targets ended under them.

#ifndef PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_
#define PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_

#include <string>
#include <string_view>
#include <vector>

#include "libs/config/numbered_configuration.h"
#include "libs/quarantine/quarantine_record.h"

namespace bilberryspool::control_node {

// Deterministic.
class ReplicatedState {
 public:
  enum class Change { kNone, kConfiguration, kRefusals };

  // The command that replaces the refusals. Versions that don't know it ignore
  // it.
  static std::string ProposeRefusals(
      const std::vector<quarantine::QuarantineRecord>& records);

  Change Apply(std::string_view command);

  // The state as bytes, and back. False where the bytes are malformed; the
  // state is then unchanged.
  std::string Export() const;
  bool Import(std::string_view bytes);

  const config::NumberedConfiguration& configuration() const {
    return configuration_;
  }
  // As they were when they were proposed; empty where they can't be read.
  std::vector<quarantine::QuarantineRecord> refusals() const;

 private:
  config::NumberedConfiguration configuration_;
  // JSON without line breaks; empty before the first.
  std::string refusals_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_REPLICATED_STATE_H_
