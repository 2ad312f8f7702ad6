#ifndef PLUGINS_OPERATORS_OPERATOR_CREDENTIAL_H_
#define PLUGINS_OPERATORS_OPERATOR_CREDENTIAL_H_

#include <array>
#include <string_view>

#include "libs/net/http_message.h"

namespace bilberryspool::operators {

// The secret that operators send as "Authorization: Bearer SECRET". Only its
// hash is kept, and hashes are compared in constant time, so that the time of a
// refusal does not reveal how much of a guess was right.
class OperatorCredential {
 public:
  static constexpr std::size_t kHashBytes = 32;

  explicit OperatorCredential(std::string_view secret);

  bool Authorizes(const net::HttpRequest& request) const;

 private:
  using Hash = std::array<unsigned char, kHashBytes>;
  static Hash HashOf(std::string_view text);

  Hash hash_;
};

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_OPERATOR_CREDENTIAL_H_
