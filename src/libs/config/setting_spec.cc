#include "libs/config/setting_spec.h"

namespace bilberryspool::config {

const KnownSetting* FindKnownSetting(const SettingName& name) {
  for (const KnownSetting& known : kKnownSettings) {
    if (name.value() == known.name) {
      return &known;
    }
  }
  return nullptr;
}

}  // namespace bilberryspool::config
