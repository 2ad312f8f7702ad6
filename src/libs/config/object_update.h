#ifndef LIBS_CONFIG_OBJECT_UPDATE_H_
#define LIBS_CONFIG_OBJECT_UPDATE_H_

#include <map>
#include <optional>
#include <variant>

#include "libs/base/ids.h"
#include "libs/config/spec_list.h"

namespace bilberryspool::config {

// The operator who issued a command.
using OperatorId = StringId<struct OperatorIdTag>;

// An object with the version and the operator of its last change.
template <typename Spec>
struct Entry {
  Spec spec;
  ConfigVersion modified_at;
  OperatorId modified_by;

  bool operator==(const Entry&) const = default;
};

template <typename Spec>
using Table = std::map<typename Spec::Key, Entry<Spec>>;

// The complete new state of one object; without an entry the object is removed.
// Applying an update is idempotent.
template <typename Spec>
struct Update {
  typename Spec::Key key;
  std::optional<Entry<Spec>> entry;

  bool operator==(const Update&) const = default;
};

using ObjectUpdate = AllSpecs::Into<std::variant, Update>;

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_OBJECT_UPDATE_H_
