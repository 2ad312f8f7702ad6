#include "libs/net/http_client.h"

#include <algorithm>
#include <deque>
#include <map>

#include "libs/net/cancellation.h"
#include "libs/net/internal/client_connection.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::net {

using internal::ClientConnection;
using ConnectionPointer = std::unique_ptr<ClientConnection>;

HttpClientOptions OptionsForReports() {
  HttpClientOptions options;
  options.max_body_bytes = 1024UL * 1024;
  return options;
}

struct HttpClient::Private {
  Private(NetworkLoop& network_loop, HttpClientOptions client_options)
      : loop(network_loop), options(client_options) {}

  // Returns the most recently used idle connection that is still open, or null.
  ConnectionPointer AcquireIdle(const Endpoint& endpoint, TimePoint now) {
    auto& pool = idle[endpoint];
    while (!pool.empty()) {
      ConnectionPointer connection = std::move(pool.back());
      pool.pop_back();
      if (now - connection->idle_since() > options.idle_timeout) {
        pool.clear();
        return nullptr;
      }
      if (!connection->is_stale()) {
        return connection;
      }
    }
    return nullptr;
  }

  void ReleaseConnection(const Endpoint& endpoint,
                         ConnectionPointer connection) {
    if (!connection->is_reusable()) {
      return;
    }
    auto& pool = idle[endpoint];
    if (pool.size() >= options.max_idle_per_endpoint) {
      return;
    }
    connection->set_idle_since(SteadyNow());
    pool.push_back(std::move(connection));
  }

  NetworkLoop& loop;
  HttpClientOptions options;
  std::map<Endpoint, std::deque<ConnectionPointer>> idle;
};

namespace {

class PooledStream : public HttpClientStream {
 public:
  using ReturnConnection = std::function<void(ConnectionPointer)>;

  PooledStream(HttpResponseHead head,
               ConnectionPointer connection,
               ReturnConnection return_connection)
      : head_(std::move(head)),
        connection_(std::move(connection)),
        return_connection_(std::move(return_connection)) {}

  ~PooledStream() override { return_connection_(std::move(connection_)); }

  const HttpResponseHead& head() const override { return head_; }
  StreamPiece Read(Duration timeout) override {
    return connection_->ReadPiece(timeout);
  }
  void Cancel() override { connection_->Cancel(); }

 private:
  HttpResponseHead head_;
  ConnectionPointer connection_;
  ReturnConnection return_connection_;
};

}  // namespace

HttpClient::HttpClient(NetworkLoop& loop, HttpClientOptions options)
    : d_(std::make_shared<Private>(loop, options)) {}
HttpClient::~HttpClient() = default;

HttpClient::OpenResult HttpClient::Open(
    const Endpoint& endpoint,
    const HttpRequest& request,
    Duration timeout,
    std::shared_ptr<Cancellation> cancellation,
    const OnProcessing& on_processing,
    std::optional<std::string_view> body) {
  const TimePoint began = SteadyNow();
  ConnectionPointer connection = d_->AcquireIdle(endpoint, began);
  if (connection == nullptr) {
    connection = std::make_unique<ClientConnection>(d_->loop.io(), d_->options);
    if (auto error = connection->Connect(endpoint, timeout)) {
      return *error;
    }
  }
  if (cancellation != nullptr) {
    if (cancellation->is_cancelled()) {
      return HttpError{HttpErrorKind::kConnect, "cancelled before sending"};
    }
    cancellation->SetHandler([raw = connection.get()] { raw->Cancel(); });
  }
  constexpr Duration kMinTimeout = Milliseconds(1);
  const Duration remaining =
      std::max(timeout - (SteadyNow() - began), kMinTimeout);
  auto result =
      connection->Exchange(request, body.value_or(request.body),
                           endpoint.ToString(), remaining, on_processing);
  if (cancellation != nullptr) {
    cancellation->SetHandler(nullptr);
  }
  if (auto* error = std::get_if<HttpError>(&result)) {
    return *error;
  }
  auto return_connection = [pool = d_, endpoint](ConnectionPointer used) {
    pool->ReleaseConnection(endpoint, std::move(used));
  };
  return std::make_unique<PooledStream>(
      std::get<HttpResponseHead>(std::move(result)), std::move(connection),
      std::move(return_connection));
}

HttpClient::SendResult HttpClient::Send(const Endpoint& endpoint,
                                        const HttpRequest& request,
                                        Duration timeout) {
  const TimePoint deadline = SteadyNow() + timeout;
  OpenResult opened = Open(endpoint, request, timeout);
  if (auto* error = std::get_if<HttpError>(&opened)) {
    return *error;
  }
  auto& stream = std::get<std::unique_ptr<HttpClientStream>>(opened);
  HttpResponse response;
  response.head = stream->head();
  while (true) {
    const Duration remaining = deadline - SteadyNow();
    if (remaining <= Duration::zero()) {
      stream->Cancel();
      return HttpError{HttpErrorKind::kTimeout, "timed out"};
    }
    StreamPiece piece = stream->Read(remaining);
    if (auto* bytes = std::get_if<std::string>(&piece)) {
      response.body += *bytes;
      continue;
    }
    if (auto* error = std::get_if<HttpError>(&piece)) {
      return *error;
    }
    return response;
  }
}

void HttpClient::DropIdle(const Endpoint& endpoint) {
  d_->idle.erase(endpoint);
}

std::size_t HttpClient::idle_connections() const {
  std::size_t count = 0;
  for (const auto& [endpoint, pool] : d_->idle) {
    count += pool.size();
  }
  return count;
}

}  // namespace bilberryspool::net
