// Calls from one process of the system to another.

#ifndef LIBS_LINKS_LINK_CLIENT_H_
#define LIBS_LINKS_LINK_CLIENT_H_

#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <variant>

#include "libs/net/http_client.h"
#include "libs/net/link_authenticator.h"

namespace bilberryspool::links {

enum class LinkErrorKind {
  // The call did not reach the peer.
  kUnreachable,
  // The call may have reached the peer.
  kLost,
  // The peer refused the key, the deployment or the method.
  kRefused,
};

struct LinkError {
  LinkErrorKind kind = LinkErrorKind::kLost;
  std::string text;
};

// Signs all its requests. Belongs to one NetworkLoop's thread.
class LinkClient {
 public:
  using CallResult = std::variant<boost::json::value, LinkError>;

  LinkClient(net::NetworkLoop& loop,
             std::shared_ptr<const net::LinkAuthenticator> authenticator);

  // Calls `method` by JSON-RPC and waits for its result.
  CallResult Call(const net::Endpoint& endpoint,
                  const std::string& method,
                  const boost::json::value& params,
                  Duration timeout);

  // Sends any other request, signed, and streams the response.
  net::HttpClient::OpenResult Open(
      const net::Endpoint& endpoint,
      net::HttpRequest request,
      Duration timeout,
      std::shared_ptr<net::Cancellation> cancellation,
      const net::HttpClient::OnProcessing& on_processing);

  // Same, but reads the whole response.
  net::HttpClient::SendResult Send(const net::Endpoint& endpoint,
                                   net::HttpRequest request,
                                   Duration timeout);

  // Closes idle connections, so that later calls to `endpoint` open new ones.
  void DropIdle(const net::Endpoint& endpoint) { client_.DropIdle(endpoint); }

  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  net::HttpClient client_;
  std::shared_ptr<const net::LinkAuthenticator> authenticator_;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace bilberryspool::links

#endif  // LIBS_LINKS_LINK_CLIENT_H_
