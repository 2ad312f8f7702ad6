#include "plugins/operators/operator_credential.h"

#include <sodium.h>

#include "libs/base/check.h"

namespace bilberryspool::operators {

namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

OperatorCredential::OperatorCredential(std::string_view secret)
    : hash_(HashOf(secret)) {}

bool OperatorCredential::Authorizes(const net::HttpRequest& request) const {
  const std::string_view field = request.headers.ValueOr("Authorization", "");
  if (!field.starts_with(kScheme)) {
    return false;
  }
  const Hash presented = HashOf(field.substr(kScheme.size()));
  return sodium_memcmp(presented.data(), hash_.data(), hash_.size()) == 0;
}

OperatorCredential::Hash OperatorCredential::HashOf(std::string_view text) {
  BILBERRYSPOOL_INVARIANT(sodium_init() >= 0, "libsodium can't start");
  Hash hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  return hash;
}

}  // namespace bilberryspool::operators
