#ifndef LIBS_CONFIG_SETTING_SPEC_H_
#define LIBS_CONFIG_SETTING_SPEC_H_

#include <cstdint>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

using SettingName = StringId<struct SettingNameTag>;

// A numeric setting of the whole deployment.
struct SettingSpec {
  using Key = SettingName;
  static constexpr const char* kKind = "setting";

  SettingName name;
  std::uint64_t value = 0;

  Key key() const { return name; }
  bool operator==(const SettingSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingSpec, (), (name, value))

// A supported setting with its default and its inclusive range.
struct KnownSetting {
  const char* name;
  std::uint64_t default_value;
  std::uint64_t min_value;
  std::uint64_t max_value;
};

inline constexpr const char* kDedupeWindow = "dedupe-window-s";
inline constexpr const char* kDrainGrace = "drain-grace-s";
inline constexpr const char* kStoreBandwidth = "store-bandwidth-mb-per-s";

inline constexpr KnownSetting kKnownSettings[] = {
    // How long a request id is remembered to detect duplicates, in seconds.
    {kDedupeWindow, 600, 10, 86400},
    // How long a leaving target may still receive new work, in seconds.
    {kDrainGrace, 3, 1, 60},
    // Bandwidth limit of fetches from the weight store, in MB/s.
    {kStoreBandwidth, 1000, 1, 1000000},
};

// The known setting of that name, or null.
const KnownSetting* FindKnownSetting(const SettingName& name);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_SETTING_SPEC_H_
