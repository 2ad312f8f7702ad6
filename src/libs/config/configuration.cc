#include "libs/config/configuration.h"

#include "libs/base/check.h"
#include "libs/config/canonical_form.h"
#include "libs/config/key_text.h"

namespace bilberryspool::config {

Digest Configuration::digest() const {
  internal::CanonicalForm form;
  form.Add(version_);
  form.Add(object_sum_);
  return Digest(internal::Fingerprint(form.bytes()));
}

std::uint64_t Configuration::setting(const char* name) const {
  const SettingName key(name);
  if (const auto* spec = Find<SettingSpec>(key)) {
    return spec->value;
  }
  const KnownSetting* known = FindKnownSetting(key);
  BILBERRYSPOOL_INVARIANT(known != nullptr, "only known settings may be read");
  return known->default_value;
}

ObjectUpdate Configuration::Apply(const ObjectUpdate& update) {
  return std::visit(
      [this](const auto& typed) -> ObjectUpdate { return ApplyTo(typed); },
      update);
}

template <typename Spec>
Update<Spec> Configuration::ApplyTo(const Update<Spec>& update) {
  auto& table = std::get<Table<Spec>>(tables_);
  Update<Spec> undo{update.key, std::nullopt};
  const auto found = table.find(update.key);
  if (found != table.end()) {
    object_sum_ -= internal::FingerprintOf(found->second);
    undo.entry = std::move(found->second);
    table.erase(found);
  }
  if (update.entry.has_value()) {
    object_sum_ += internal::FingerprintOf(*update.entry);
    table.emplace(update.key, *update.entry);
  }
  return undo;
}

std::size_t Configuration::object_count() const {
  std::size_t count = 0;
  ForEachTable([&](const auto& table) { count += table.size(); });
  return count;
}

std::string ObjectName(const ObjectUpdate& update) {
  return std::visit(
      [](const auto& typed) {
        using Spec = typename decltype(typed.entry)::value_type;
        return ObjectNameOf<decltype(Spec::spec)>(typed.key);
      },
      update);
}

}  // namespace bilberryspool::config
