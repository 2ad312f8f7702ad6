#ifndef LIBS_NET_INTERNAL_SERVER_EXCHANGE_H_
#define LIBS_NET_INTERNAL_SERVER_EXCHANGE_H_

#include "libs/net/internal/server_connection.h"

namespace bilberryspool::net::internal {

// The exchange that is passed to the handler; exists for one request.
class ServerExchange : public HttpExchange {
 public:
  ServerExchange(ServerConnection& connection, HttpRequest request);

  HttpRequest& request() override { return request_; }
  const std::string& peer_address() const override;
  bool SendProcessing() override;
  bool Respond(HttpResponseHead head, std::string_view body) override;
  bool BeginStream(HttpResponseHead head) override;
  bool WritePiece(std::string_view piece) override;
  bool EndStream() override;
  void AbortStream() override;
  bool has_responded() const override { return has_responded_; }
  void NotifyOnDisconnect(std::function<void()> on_disconnect) override;

  // Returns true if the whole response was sent.
  bool is_complete() const { return is_complete_; }

 private:
  bool Finish(const boost::system::error_code& error);

  ServerConnection& connection_;
  HttpRequest request_;
  bool has_responded_ = false;
  bool is_complete_ = false;
  bool is_broken_ = false;
};

}  // namespace bilberryspool::net::internal

#endif  // LIBS_NET_INTERNAL_SERVER_EXCHANGE_H_
