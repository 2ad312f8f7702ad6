#ifndef LIBS_CONFIG_CHANGE_HISTORY_H_
#define LIBS_CONFIG_CHANGE_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/config/delta.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// How one version came about.
struct ChangeRecord {
  ConfigVersion version;
  OperatorId operator_id;
  CommandId command;
  // Given by the system itself, not by an operator.
  bool system = false;
  std::vector<ObjectUpdate> updates;

  bool operator==(const ChangeRecord&) const = default;
};

// The latest versions, one record each, without gaps. Bounded: what is older
// is answered by a full state instead.
class ChangeHistory {
 public:
  // Half an hour at ten times 8,200 changes a day.
  static constexpr std::size_t kCapacity = 2048;
  // Of objects in all records together: bounds the memory where commands are
  // large.
  static constexpr std::size_t kObjectCapacity = 32768;

  // `record.version` must follow the latest.
  void Add(ChangeRecord record);

  // Whether each version after `version` is still recorded, given the latest.
  bool Covers(ConfigVersion version, ConfigVersion latest) const;

  // Brings a node at `from` to `latest`; none where `from` is newer than that
  // or too old.
  std::optional<Delta> DeltaFrom(ConfigVersion from,
                                 const Configuration& latest) const;

  const std::deque<ChangeRecord>& records() const { return records_; }

  bool operator==(const ChangeHistory&) const = default;

 private:
  std::deque<ChangeRecord> records_;
  std::size_t object_count_ = 0;
};

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_CHANGE_HISTORY_H_
