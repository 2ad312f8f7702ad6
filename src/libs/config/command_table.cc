#include "libs/config/command_table.h"

#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::config {

const CommandRecord* CommandTable::Find(const CommandId& id) const {
#if defined(BILBERRYSPOOL_MUTATION_FORGET_COMMAND_ID)
  return nullptr;
#endif
  const auto position = positions_.find(id);
  return position == positions_.end()
             ? nullptr
             : &records_[position->second - evicted_count_];
}

void CommandTable::Add(CommandRecord record) {
  const bool added =
      positions_.emplace(record.id, evicted_count_ + records_.size()).second;
  BILBERRYSPOOL_INVARIANT(added, "a command id must not be recorded twice");
  records_.push_back(std::move(record));
  if (records_.size() <= kCapacity) {
    return;
  }
  forgotten_up_to_ = records_.front().index;
  positions_.erase(records_.front().id);
  records_.pop_front();
  ++evicted_count_;
}

}  // namespace bilberryspool::config
