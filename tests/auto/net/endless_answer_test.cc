// Answers that never end, sent as fast as the client reads them.

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "libs/net/http_client.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::net {
namespace {

using boost::asio::ip::tcp;

// Sends `first` once and then `rest` again and again, until the client closes:
// as fast as it reads, or one at a time after each `pause`.
class EndlessServer {
 public:
  EndlessServer(std::string first,
                std::string rest,
                std::chrono::milliseconds pause = {})
      : first_(std::move(first)), rest_(std::move(rest)), pause_(pause) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() { thread_.join(); }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t sent_bytes() const { return sent_bytes_; }
  bool is_closed() const { return is_closed_; }

 private:
  // Bounds the run of a test that fails.
  static constexpr std::size_t kMaxSent = 256UL * 1024 * 1024;
  static constexpr std::size_t kPieceBytes = 64UL * 1024;

  void Serve() {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    boost::system::error_code error;
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(first_), error);
    std::string piece = rest_;
    while (pause_.count() == 0 && piece.size() < kPieceBytes) {
      piece += rest_;
    }
    while (!error && sent_bytes_ < kMaxSent) {
      std::this_thread::sleep_for(pause_);
      sent_bytes_ +=
          boost::asio::write(socket, boost::asio::buffer(piece), error);
    }
    is_closed_ = error.failed();
  }

  std::string first_;
  std::string rest_;
  std::chrono::milliseconds pause_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{
      io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::atomic<std::size_t> sent_bytes_ = 0;
  std::atomic<bool> is_closed_ = false;
  std::thread thread_;
};

struct Row {
  std::string name;
  std::string first;
  std::string rest;
};

const std::string kHead = "HTTP/1.1 200 OK\r\n";

// Guards against a process that is ended because it has no memory left, or that
// reads for ever, when a peer sends bytes that are no answer and never end.
TEST_CASE("an answer without an end is closed at a limit") {
  const Row rows[] = {
      {"no HTTP", "", "bytes that are no answer "},
      {"one byte again and again", "", std::string(1, '\0')},
      {"status line", "HTTP/1.1 200 ", "a"},
      {"name of a field", kHead, "a"},
      {"value of a field", kHead + "A: ", "a"},
      {"fields", kHead, "A: b\r\n"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"body without a length", kHead + "\r\n", "a"},
      {"body with a length", kHead + "Content-Length: 99999999999\r\n\r\n",
       "a"},
      {"chunks", kHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
      {"size of a chunk", kHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
      {"extension of a chunk", kHead + "Transfer-Encoding: chunked\r\n\r\n1;",
       "a"},
      {"trailer", kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "a"},
      {"trailers", kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
  };
  constexpr std::size_t kLimit = 256UL * 1024;
  // What the operating system holds for both ends.
  constexpr std::size_t kSocketBuffers = 16UL * 1024 * 1024;
  constexpr Duration kTimeout = Seconds(20);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndlessServer server(row.first, row.rest);
    NetworkLoop loop;
    std::thread thread([&] {
      loop.Run([&] {
        HttpClientOptions options;
        options.max_header_bytes = 32UL * 1024;
        options.max_body_bytes = kLimit;
        HttpClient client(loop, options);
        const TimePoint begun = SteadyNow();
        const auto result =
            client.Send(server.endpoint(), HttpRequest{}, kTimeout);
        const auto* error = std::get_if<HttpError>(&result);
        REQUIRE(error != nullptr);
        CHECK(error->kind == HttpErrorKind::kProtocol);
        CHECK(SteadyNow() - begun < kTimeout / 2);
        CHECK(client.idle_connections() == 0);
      });
    });
    thread.join();
    for (int i = 0; i < 200 && !server.is_closed(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(server.is_closed());
    CHECK(server.sent_bytes() < kLimit + kSocketBuffers);
  }
}

// Guards against a request that waits past its time limit, as its peer sends
// interim answers, or the bytes of a head, one at a time.
TEST_CASE("an answer that arrives slowly does not extend the time limit") {
  const Row rows[] = {
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"name of a field", kHead, "a"},
      {"fields", kHead, "A: b\r\n"},
      {"body", kHead + "\r\n", "a"},
  };
  constexpr Duration kTimeout = Milliseconds(500);
  constexpr Duration kLate = Seconds(5);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndlessServer server(row.first, row.rest, std::chrono::milliseconds(20));
    NetworkLoop loop;
    loop.Run([&] {
      HttpClient client(loop, {});
      const TimePoint begun = SteadyNow();
      const auto result =
          client.Send(server.endpoint(), HttpRequest{}, kTimeout);
      const auto* error = std::get_if<HttpError>(&result);
      REQUIRE(error != nullptr);
      CHECK(error->kind == HttpErrorKind::kTimeout);
      CHECK(SteadyNow() - begun < kLate);
    });
  }
}

}  // namespace
}  // namespace bilberryspool::net
