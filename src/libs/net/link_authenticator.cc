#include "libs/net/link_authenticator.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <vector>

#include "libs/base/check.h"

namespace bilberryspool::net {

struct LinkAuthenticator::Private {
  std::string deployment;
  NodeId self;
  std::array<unsigned char, crypto_auth_KEYBYTES> key{};
};

namespace {

void Update(crypto_auth_hmacsha512256_state& state, std::string_view text) {
  // The length prefix keeps different lists of fields from hashing to the same
  // value.
  const std::uint64_t length = text.size();
  crypto_auth_hmacsha512256_update(
      &state, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
  crypto_auth_hmacsha512256_update(
      &state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

bool IsProtected(const HttpHeader& field) {
  const std::string_view name = field.name;
  return name.size() > kProtectedPrefix.size() &&
         EqualNames(name.substr(0, kProtectedPrefix.size()),
                    kProtectedPrefix) &&
         !EqualNames(name, kLinkMacHeader);
}

std::string ToHex(const unsigned char* bytes, std::size_t length) {
  std::string hex(length * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes, length);
  hex.pop_back();
  return hex;
}

}  // namespace

std::string_view Describe(LinkRefusal refusal) {
  switch (refusal) {
    case LinkRefusal::kUnsigned:
      return "unsigned";
    case LinkRefusal::kOtherDeployment:
      return "other deployment";
    case LinkRefusal::kWrongKey:
      return "wrong key";
  }
  return "unknown";
}

LinkAuthenticator::LinkAuthenticator(std::string deployment,
                                     NodeId self,
                                     std::string_view key_text)
    : d_(std::make_unique<Private>()) {
  BILBERRYSPOOL_INVARIANT(sodium_init() >= 0, "libsodium can't start");
  d_->deployment = std::move(deployment);
  d_->self = std::move(self);
  crypto_generichash(d_->key.data(), d_->key.size(),
                     reinterpret_cast<const unsigned char*>(key_text.data()),
                     key_text.size(), nullptr, 0);
}

LinkAuthenticator::~LinkAuthenticator() = default;

std::string LinkAuthenticator::ComputeMac(const HttpRequest& request) const {
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init(&state, d_->key.data(), d_->key.size());
  Update(state, request.method);
  Update(state, request.target);
  for (const HttpHeader& field : request.headers) {
    if (!IsProtected(field)) {
      continue;
    }
    Update(state, field.name);
    Update(state, field.value);
  }
  Update(state, request.body);
  std::array<unsigned char, crypto_auth_hmacsha512256_BYTES> mac{};
  crypto_auth_hmacsha512256_final(&state, mac.data());
  return ToHex(mac.data(), mac.size());
}

void LinkAuthenticator::SignRequest(HttpRequest& request) const {
  request.headers.Set(kLinkDeploymentHeader, d_->deployment);
  request.headers.Set(kLinkSenderHeader, d_->self.value());
  request.headers.Set(kLinkMacHeader, ComputeMac(request));
}

std::variant<NodeId, LinkRefusal> LinkAuthenticator::CheckRequest(
    const HttpRequest& request) const {
  const auto deployment = request.headers.Find(kLinkDeploymentHeader);
  const auto sender = request.headers.Find(kLinkSenderHeader);
  const auto mac = request.headers.Find(kLinkMacHeader);
  if (!deployment || !sender || !mac) {
    return LinkRefusal::kUnsigned;
  }
  if (*deployment != d_->deployment) {
    return LinkRefusal::kOtherDeployment;
  }
  const std::string expected = ComputeMac(request);
  const bool is_equal =
      mac->size() == expected.size() &&
      sodium_memcmp(mac->data(), expected.data(), expected.size()) == 0;
  if (!is_equal) {
    return LinkRefusal::kWrongKey;
  }
  return NodeId(std::string(*sender));
}

std::optional<std::string> ReadKeyFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  std::string key = text.str();
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (key.size() < LinkAuthenticator::kMinKeyBytes) {
    return std::nullopt;
  }
  return key;
}

std::variant<std::shared_ptr<const LinkAuthenticator>, std::string>
LoadAuthenticator(const std::string& deployment,
                  const NodeId& self,
                  const std::string& key_file) {
  const auto key = ReadKeyFile(key_file);
  if (!key.has_value()) {
    return "can't read a key of at least " +
           std::to_string(LinkAuthenticator::kMinKeyBytes) + " bytes from " +
           key_file;
  }
  return std::make_shared<const LinkAuthenticator>(deployment, self, *key);
}

}  // namespace bilberryspool::net
