// Authentication of the links between the system's processes by a shared key.
//
// Guards against a stray or foreign process that joins a deployment by
// accident or on purpose: every message between processes carries a keyed hash
// of the deployment, the sender, its method, target, protected fields and body.
// It is seen by a refusal (401) and a log line naming the peer.

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
// Fields with this prefix are covered by the hash, besides method, target and
// body.
inline constexpr std::string_view kProtectedPrefix = "Bilberryspool-";

enum class LinkRefusal { kUnsigned, kOtherDeployment, kWrongKey };

std::string_view Describe(LinkRefusal refusal);

// Signs and checks requests, and signs and checks the heads of responses.
class LinkAuthenticator {
 public:
  // `key_text` is the content of the key file: at least kMinKeyBytes of text.
  LinkAuthenticator(std::string deployment,
                    NodeId self,
                    std::string_view key_text);
  ~LinkAuthenticator();
  LinkAuthenticator(const LinkAuthenticator&) = delete;
  LinkAuthenticator& operator=(const LinkAuthenticator&) = delete;

  static constexpr std::size_t kMinKeyBytes = 16;

  void SignRequest(HttpRequest& request) const;

  // The sender, or why the request is refused.
  std::variant<NodeId, LinkRefusal> CheckRequest(
      const HttpRequest& request) const;

 private:
  struct Private;
  std::string ComputeMac(const HttpRequest& request) const;
  std::unique_ptr<Private> d_;
};

// Reads a key file. Nothing where it can't be read or is too short.
std::optional<std::string> ReadKeyFile(const std::string& path);

// An authenticator with the key of that file, or why there is none.
std::variant<std::shared_ptr<const LinkAuthenticator>, std::string>
LoadAuthenticator(const std::string& deployment,
                  const NodeId& self,
                  const std::string& key_file);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_LINK_AUTHENTICATOR_H_
