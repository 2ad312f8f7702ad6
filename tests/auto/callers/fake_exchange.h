#ifndef AUTO_CALLERS_FAKE_EXCHANGE_H_
#define AUTO_CALLERS_FAKE_EXCHANGE_H_

#include <string>

#include "libs/net/http_server.h"

namespace bilberryspool::callers {

// An exchange that holds a request and records the answer to it.
class FakeExchange : public net::HttpExchange {
 public:
  explicit FakeExchange(net::HttpRequest request);

  net::HttpRequest& request() override { return request_; }
  const std::string& peer_address() const override { return peer_; }
  bool SendProcessing() override { return true; }
  bool Respond(net::HttpResponseHead head, std::string_view body) override;
  bool BeginStream(net::HttpResponseHead head) override;
  bool WritePiece(std::string_view piece) override;
  bool EndStream() override { return true; }
  void AbortStream() override {}
  bool has_responded() const override { return has_responded_; }
  void NotifyOnDisconnect(std::function<void()> /*on_disconnect*/) override {}

  const net::HttpResponseHead& head() const { return head_; }
  const std::string& body() const { return body_; }

 private:
  net::HttpRequest request_;
  std::string peer_ = "127.0.0.1";
  bool has_responded_ = false;
  net::HttpResponseHead head_;
  std::string body_;
};

}  // namespace bilberryspool::callers

#endif  // AUTO_CALLERS_FAKE_EXCHANGE_H_
