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

// The command that led to a version, and the updates it made.
struct ChangeRecord {
  ConfigVersion version;
  OperatorId operator_id;
  CommandId command;
  // Issued by the system itself rather than by an operator.
  bool system = false;
  std::vector<ObjectUpdate> updates;

  bool operator==(const ChangeRecord&) const = default;
};

// Records of the latest versions, one per version and without gaps. The size is
// bounded; a node with an older version needs the full state instead of a
// delta.
class ChangeHistory {
 public:
  // Maximum number of records: half an hour at ten times the rate of 8,200
  // changes a day.
  static constexpr std::size_t kCapacity = 2048;
  // Maximum number of objects in all records together; bounds the memory if
  // commands are large.
  static constexpr std::size_t kObjectCapacity = 32768;

  // `record.version` must be the successor of the latest recorded version.
  void Add(ChangeRecord record);

  // Whether every version after `version`, up to `latest`, is still recorded.
  // False if `version` is newer than `latest`.
  bool Covers(ConfigVersion version, ConfigVersion latest) const;

  // The delta from version `from` to `latest`; none if `from` is newer than
  // `latest` or no longer covered by the history.
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
