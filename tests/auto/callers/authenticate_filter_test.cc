#include "plugins/callers/authenticate_filter.h"

#include <doctest/doctest.h>

#include "auto/callers/fake_exchange.h"
#include "libs/config/workspace_spec.h"

namespace bilberryspool::callers {
namespace {

void Put(config::Configuration& configuration,
         const char* id,
         std::optional<std::string> hash) {
  config::WorkspaceSpec spec;
  spec.id = Workspace(id);
  spec.credential_hash = std::move(hash);
  config::Update<config::WorkspaceSpec> update;
  update.key = spec.id;
  update.entry =
      config::Entry<config::WorkspaceSpec>{spec, ConfigVersion(1), {}};
  configuration.Apply(config::ObjectUpdate(update));
}

TEST_CASE("a declared credential is required") {
  auto configuration = std::make_shared<config::Configuration>();
  Put(*configuration, "open", std::nullopt);
  Put(*configuration, "closed", HashCredential("secret"));
  ServiceTable services;
  services.Adopt(configuration);
  const AuthenticateFilter filter(services);
  struct Row {
    const char* workspace;
    const char* authorization;
    const char* reason;
  };
  const Row rows[] = {{"open", "", ""},
                      {"closed", "Bearer secret", ""},
                      {"closed", "Bearer other", "credential-wrong"},
                      {"closed", "", "credential-missing"},
                      {"closed", "Basic secret", "credential-missing"},
                      {"unheard-of", "", "unknown-workspace"}};
  for (const Row& row : rows) {
    CAPTURE(row.workspace);
    CAPTURE(row.authorization);
    net::HttpRequest request;
    request.headers.Add("Authorization", row.authorization);
    FakeExchange exchange(request);
    RequestContext context(exchange);
    context.key.workspace = Workspace(row.workspace);
    const auto answer = filter.Handle(context);
    CHECK((answer.has_value() ? answer->reason : "") ==
          std::string(row.reason));
  }
}

}  // namespace
}  // namespace bilberryspool::callers
