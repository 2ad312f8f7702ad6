#include "plugins/callers/service_table.h"

namespace bilberryspool::callers {

void ServiceTable::Adopt(
    std::shared_ptr<const config::Configuration> configuration) {
  configuration_ = std::move(configuration);
}

bool ServiceTable::IsEnginePath(std::string_view path) {
  return path.starts_with("/v1/");
}

const config::ServiceSpec* ServiceTable::Find(std::string_view path,
                                              const std::string& model) const {
  if (configuration_ == nullptr) {
    return nullptr;
  }
  if (IsEnginePath(path)) {
    const auto* service =
        configuration_->Find<config::ServiceSpec>(ServiceId(model));
    const bool is_engine =
        service != nullptr && service->kind == config::ServiceKind::kEngine;
    return is_engine ? service : nullptr;
  }
  const config::ServiceSpec* best = nullptr;
  for (const auto& [id, row] : configuration_->table<config::ServiceSpec>()) {
    const config::ServiceSpec& service = row.spec;
    const bool is_match = service.kind == config::ServiceKind::kPlain &&
                          path.starts_with(service.path_prefix);
    if (!is_match) {
      continue;
    }
    if (best == nullptr ||
        service.path_prefix.size() > best->path_prefix.size()) {
      best = &service;
    }
  }
  return best;
}

}  // namespace bilberryspool::callers
