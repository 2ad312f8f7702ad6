#include "libs/links/link_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/overloaded.h"
#include "libs/links/link_headers.h"
#include "libs/links/link_timeouts.h"
#include "libs/net/http_status.h"
#include "libs/rpc/caller.h"

namespace bilberryspool::links {

namespace {

// A configuration of 4 MB, packed and encoded, and the records of all targets.
constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;

net::HttpClientOptions MakeClientOptions() {
  net::HttpClientOptions options;
  options.idle_timeout = kClientIdleTimeout;
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxResponseBytes;
  return options;
}

LinkError ToLinkError(const net::HttpError& error) {
  const LinkErrorKind kind = error.kind == net::HttpErrorKind::kConnect
                                 ? LinkErrorKind::kUnreachable
                                 : LinkErrorKind::kLost;
  return {kind, error.text};
}

LinkError ToLinkError(const rpc::RpcError& error) {
  return std::visit(
      Overloaded{[](const rpc::MethodNotFound& e) {
                   return LinkError{LinkErrorKind::kRefused, e.method};
                 },
                 [](const rpc::BadParams& e) {
                   return LinkError{LinkErrorKind::kRefused, e.message};
                 },
                 [](const rpc::TransportFailure& e) {
                   return LinkError{LinkErrorKind::kLost, e.message};
                 },
                 [](const rpc::BadResponse& e) {
                   return LinkError{LinkErrorKind::kLost, e.message};
                 },
                 [](const rpc::RemoteError& e) {
                   return LinkError{LinkErrorKind::kRefused, e.message};
                 }},
      error);
}

}  // namespace

LinkClient::LinkClient(
    net::NetworkLoop& loop,
    std::shared_ptr<const net::LinkAuthenticator> authenticator)
    : client_(loop, MakeClientOptions()),
      authenticator_(std::move(authenticator)) {}

LinkClient::CallResult LinkClient::Call(const net::Endpoint& endpoint,
                                        const std::string& method,
                                        const boost::json::value& params,
                                        Duration timeout) {
  std::optional<LinkError> link_error;
  const rpc::Caller caller(
      [&](const std::string& body) -> rpc::TransportResult {
        net::HttpRequest request;
        request.method = "POST";
        request.target = kRpcPath;
        request.body = body;
        authenticator_->SignRequest(request);
        bytes_sent_ += body.size();
        auto result = client_.Send(endpoint, request, timeout);
        if (const auto* error = std::get_if<net::HttpError>(&result)) {
          link_error = ToLinkError(*error);
          return rpc::TransportFailure{error->text};
        }
        auto& response = std::get<net::HttpResponse>(result);
        if (response.head.status == net::status::kUnauthorized) {
          link_error = LinkError{LinkErrorKind::kRefused, "key refused"};
          return rpc::TransportFailure{"key refused"};
        }
        if (response.head.status != net::status::kOk) {
          return rpc::TransportFailure{"status " +
                                       std::to_string(response.head.status)};
        }
        return std::move(response.body);
      });
  auto result = caller.Call(method, boost::json::serialize(params));
  if (const auto* error = std::get_if<rpc::RpcError>(&result)) {
    return link_error.value_or(ToLinkError(*error));
  }
  boost::system::error_code error;
  boost::json::value value =
      boost::json::parse(std::get<std::string>(result), error);
  if (error) {
    return LinkError{LinkErrorKind::kLost, "malformed result"};
  }
  return value;
}

net::HttpClient::OpenResult LinkClient::Open(
    const net::Endpoint& endpoint,
    net::HttpRequest request,
    Duration timeout,
    std::shared_ptr<net::Cancellation> cancellation,
    const net::HttpClient::OnProcessing& on_processing) {
  authenticator_->SignRequest(request);
  bytes_sent_ += request.body.size();
  return client_.Open(endpoint, request, timeout, std::move(cancellation),
                      on_processing);
}

net::HttpClient::SendResult LinkClient::Send(const net::Endpoint& endpoint,
                                             net::HttpRequest request,
                                             Duration timeout) {
  authenticator_->SignRequest(request);
  bytes_sent_ += request.body.size();
  return client_.Send(endpoint, request, timeout);
}

}  // namespace bilberryspool::links
