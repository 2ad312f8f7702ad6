// Authentication of the links between the system's processes by a shared key.
//
// Keeps foreign processes from joining a deployment by mistake or on purpose:
// every message between processes carries a keyed hash (MAC) of the deployment,
// the sender, its method, target, protected fields and body. A refused peer
// gets status 401 and is logged.

#ifndef LIBS_NET_LINK_AUTHENTICATOR_H_
#define LIBS_NET_LINK_AUTHENTICATOR_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libs/base/ids.h"
#include "libs/net/http_message.h"

namespace bilberryspool::net {

// Header fields that links add.
inline constexpr std::string_view kLinkDeploymentHeader =
    "Bilberryspool-Deployment";
inline constexpr std::string_view kLinkSenderHeader = "Bilberryspool-Sender";
inline constexpr std::string_view kLinkMacHeader = "Bilberryspool-Mac";
// Header fields with this prefix are covered by the hash in addition to method,
// target and body.
inline constexpr std::string_view kProtectedPrefix = "Bilberryspool-";

enum class LinkRefusal { kUnsigned, kOtherDeployment, kWrongKey };

std::string_view Describe(LinkRefusal refusal);

// Signs and verifies requests.
class LinkAuthenticator {
 public:
  // `key_text` is the content of the key file: at least kMinKeyBytes bytes.
  LinkAuthenticator(std::string deployment,
                    NodeId self,
                    std::string_view key_text);
  ~LinkAuthenticator();
  LinkAuthenticator(const LinkAuthenticator&) = delete;
  LinkAuthenticator& operator=(const LinkAuthenticator&) = delete;

  static constexpr std::size_t kMinKeyBytes = 16;

  void SignRequest(HttpRequest& request) const;

  // Returns the sender, or the reason for the refusal.
  std::variant<NodeId, LinkRefusal> CheckRequest(
      const HttpRequest& request) const;

 private:
  struct Private;
  std::string ComputeMac(const HttpRequest& request) const;
  std::unique_ptr<Private> d_;
};

// Reads a key file. Returns std::nullopt if it can't be read or is too short.
std::optional<std::string> ReadKeyFile(const std::string& path);

// Returns an authenticator with the key of the file, or an error message.
std::variant<std::shared_ptr<const LinkAuthenticator>, std::string>
LoadAuthenticator(const std::string& deployment,
                  const NodeId& self,
                  const std::string& key_file);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_LINK_AUTHENTICATOR_H_
