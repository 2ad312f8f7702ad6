// Text representations of object keys, for messages and comparisons.

#ifndef LIBS_CONFIG_KEY_TEXT_H_
#define LIBS_CONFIG_KEY_TEXT_H_

#include <string>

#include "libs/config/spec_list.h"

namespace bilberryspool::config {

template <typename Tag>
std::string KeyText(const StringId<Tag>& id) {
  return id.value();
}
std::string KeyText(const TargetSelector& selector);
std::string KeyText(const PlacementKey& key);
std::string KeyText(const ExpertKey& key);
std::string KeyText(const ForbidSpec::Key& key);

// The kind and key of an object, such as "service drafter" or
// "pin g layer 1 expert 2".
template <typename Spec>
std::string ObjectNameOf(const typename Spec::Key& key) {
  return std::string(Spec::kKind) + " " + KeyText(key);
}

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_KEY_TEXT_H_
