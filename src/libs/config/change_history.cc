#include "libs/config/change_history.h"

#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::config {

void ChangeHistory::Add(ChangeRecord record) {
  BILBERRYSPOOL_INVARIANT(
      records_.empty() || record.version == records_.back().version.Next(),
      "recorded versions must be consecutive");
  object_count_ += record.updates.size();
  records_.push_back(std::move(record));
  while (records_.size() > kCapacity || object_count_ > kObjectCapacity) {
    object_count_ -= records_.front().updates.size();
    records_.pop_front();
  }
}

bool ChangeHistory::Covers(ConfigVersion version, ConfigVersion latest) const {
  if (version >= latest) {
    return version == latest;
  }
  return !records_.empty() && records_.front().version <= version.Next();
}

std::optional<Delta> ChangeHistory::DeltaFrom(
    ConfigVersion from,
    const Configuration& latest) const {
  if (!Covers(from, latest.version())) {
    return std::nullopt;
  }
  std::vector<ObjectUpdate> updates;
  for (auto record = records_.rbegin(); record != records_.rend(); ++record) {
    if (record->version <= from) {
      break;
    }
    updates.insert(updates.end(), record->updates.rbegin(),
                   record->updates.rend());
  }
  return Delta{from, latest.version(), LatestUpdatePerObject(updates),
               latest.digest()};
}

}  // namespace bilberryspool::config
