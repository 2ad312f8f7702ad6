#include "libs/config/key_text.h"

namespace bilberryspool::config {

std::string KeyText(const TargetSelector& selector) {
  return ToString(selector);
}

std::string KeyText(const PlacementKey& key) {
  return key.service.value() + " on " + ToString(key.targets);
}

std::string KeyText(const ExpertKey& key) {
  return key.group.value() + " layer " + std::to_string(key.layer) +
         " expert " + std::to_string(key.expert.value());
}

std::string KeyText(const ForbidSpec::Key& key) {
  return KeyText(key.expert) + " on rank " + std::to_string(key.rank.value());
}

}  // namespace bilberryspool::config
