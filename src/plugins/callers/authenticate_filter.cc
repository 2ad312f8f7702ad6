#include "plugins/callers/authenticate_filter.h"

#include <sodium.h>

#include <array>

#include "libs/config/workspace_spec.h"
#include "libs/net/http_status.h"

namespace bilberryspool::callers {

namespace {

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

std::string HashCredential(std::string_view credential) {
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(credential.data()),
                     credential.size(), nullptr, 0);
  std::string hex(hash.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  hex.pop_back();
  return hex;
}

std::optional<FinalAnswer> AuthenticateFilter::Handle(
    const RequestContext& context) const {
  const config::Configuration* configuration = services_.configuration();
  const bool has_workspaces =
      configuration != nullptr &&
      !configuration->table<config::WorkspaceSpec>().empty();
  if (!has_workspaces) {
    return std::nullopt;
  }
  const auto* workspace =
      configuration->Find<config::WorkspaceSpec>(context.key.workspace);
  if (workspace == nullptr) {
    return MakeRejection(net::status::kForbidden, "unknown-workspace");
  }
  if (!workspace->credential_hash.has_value()) {
    return std::nullopt;
  }
  const auto authorization =
      context.exchange.request().headers.ValueOr("Authorization", "");
  if (!authorization.starts_with(kBearer)) {
    return MakeRejection(net::status::kUnauthorized, "credential-missing");
  }
  const std::string hash = HashCredential(authorization.substr(kBearer.size()));
  const std::string& expected = *workspace->credential_hash;
  const bool is_equal =
      hash.size() == expected.size() &&
      sodium_memcmp(hash.data(), expected.data(), hash.size()) == 0;
  if (!is_equal) {
    return MakeRejection(net::status::kUnauthorized, "credential-wrong");
  }
  return std::nullopt;
}

}  // namespace bilberryspool::callers
