#include "plugins/callers/service_table.h"

#include <doctest/doctest.h>

namespace bilberryspool::callers {
namespace {

void Put(config::Configuration& configuration,
         const char* id,
         config::ServiceKind kind,
         const char* prefix) {
  config::ServiceSpec spec;
  spec.id = ServiceId(id);
  spec.kind = kind;
  spec.path_prefix = prefix;
  config::Update<config::ServiceSpec> update;
  update.key = spec.id;
  update.entry = config::Entry<config::ServiceSpec>{spec, ConfigVersion(1), {}};
  configuration.Apply(config::ObjectUpdate(update));
}

TEST_CASE("a service is found by model or by the longest path prefix") {
  auto configuration = std::make_shared<config::Configuration>();
  Put(*configuration, "m", config::ServiceKind::kEngine, "");
  Put(*configuration, "all", config::ServiceKind::kPlain, "/a");
  Put(*configuration, "part", config::ServiceKind::kPlain, "/a/b");
  ServiceTable table;
  CHECK(table.Find("/a", "") == nullptr);
  table.Adopt(configuration);
  struct Row {
    const char* path;
    const char* model;
    const char* service;
  };
  const Row rows[] = {
      {"/v1/completions", "m", "m"}, {"/v1/completions", "all", ""},
      {"/v1/completions", "", ""},   {"/a/x", "", "all"},
      {"/a/b/x", "", "part"},        {"/c", "m", ""}};
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const config::ServiceSpec* found = table.Find(row.path, row.model);
    CHECK((found == nullptr ? "" : found->id.value()) ==
          std::string(row.service));
  }
}

}  // namespace
}  // namespace bilberryspool::callers
