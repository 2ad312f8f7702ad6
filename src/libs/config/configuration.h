// The accepted configuration of a deployment, as a value.
//
// Everything that operators declare is stored as objects in ordered tables, so
// that all replicas and nodes with the same version have identical contents.
// The digest is updated with each change, so that a diverged node (after a lost
// delta or a memory fault) is detected by comparing 8 bytes.

#ifndef LIBS_CONFIG_CONFIGURATION_H_
#define LIBS_CONFIG_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "libs/base/ids.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// Fingerprint of a configuration including its version.
using Digest = StrongType<struct DigestTag, std::uint64_t>;

class Configuration {
 public:
  ConfigVersion version() const { return version_; }
  void set_version(ConfigVersion version) { version_ = version; }

  Digest digest() const;

  template <typename Spec>
  const Table<Spec>& table() const {
    return std::get<Table<Spec>>(tables_);
  }

  // The object, or null.
  template <typename Spec>
  const Spec* Find(const typename Spec::Key& key) const {
    const auto found = table<Spec>().find(key);
    return found == table<Spec>().end() ? nullptr : &found->second.spec;
  }

  // The value of a known setting, or its default if it isn't set.
  std::uint64_t setting(const char* name) const;

  // Applies the update and returns the update that undoes it.
  ObjectUpdate Apply(const ObjectUpdate& update);

  // Calls `visitor` with each table, in a fixed order.
  template <typename Visitor>
  void ForEachTable(const Visitor& visitor) const {
    std::apply([&](const auto&... tables) { (visitor(tables), ...); }, tables_);
  }

  std::size_t object_count() const;

  bool operator==(const Configuration& other) const {
    return version_ == other.version_ && tables_ == other.tables_;
  }

 private:
  template <typename Spec>
  Update<Spec> ApplyTo(const Update<Spec>& update);

  ConfigVersion version_;
  AllSpecs::Into<std::tuple, Table> tables_;
  // Sum of the objects' fingerprints. Updating it costs time only for the
  // objects that change.
  std::uint64_t object_sum_ = 0;
};

// The kind and key of an object, such as "service drafter", for messages and
// comparisons.
std::string ObjectName(const ObjectUpdate& update);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_CONFIGURATION_H_
