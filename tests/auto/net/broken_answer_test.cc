// Bytes that are no answer in the protocol, and answers that are cut off.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::net {
namespace {

using boost::asio::ip::tcp;

// Sends `bytes` in answer to one request and closes.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string bytes) : bytes_(std::move(bytes)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~OneAnswerServer() { thread_.join(); }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  void Serve() {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    boost::system::error_code error;
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(bytes_), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
  }

  std::string bytes_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{
      io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread_;
};

HttpClient::SendResult SendTo(const std::string& answer) {
  OneAnswerServer server(answer);
  NetworkLoop loop;
  std::optional<HttpClient::SendResult> result;
  loop.Run([&] {
    HttpClient client(loop, {});
    constexpr Duration kTimeout = Seconds(20);
    result = client.Send(server.endpoint(), HttpRequest{}, kTimeout);
    CHECK(client.idle_connections() <=
          (std::holds_alternative<HttpResponse>(*result) ? 1 : 0));
  });
  return *std::move(result);
}

bool IsProtocolError(const HttpClient::SendResult& result) {
  const auto* error = std::get_if<HttpError>(&result);
  return error != nullptr && error->kind == HttpErrorKind::kProtocol;
}

const std::string kFields = "Server: a\r\nContent-Length: 2\r\n\r\nok";

// Guards against answers whose status is no status of HTTP being passed on.
TEST_CASE("an answer with an invalid status is a protocol error") {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "2000", "20", "2x0", "-20"}) {
    CAPTURE(status);
    const auto result = SendTo("HTTP/1.1 " + status + " OK\r\n" + kFields);
    CHECK(IsProtocolError(result));
  }
}

// Guards against interim answers being taken for the answer.
TEST_CASE("interim answers precede the answer") {
  for (const std::string status : {"100", "102", "103", "199"}) {
    CAPTURE(status);
    const auto result =
        SendTo("HTTP/1.1 " + status + " Interim\r\nA: b\r\n\r\n" +
               "HTTP/1.1 200 OK\r\n" + kFields);
    const auto* response = std::get_if<HttpResponse>(&result);
    REQUIRE(response != nullptr);
    CHECK(response->head.status == 200);
    CHECK(response->body == "ok");
  }
}

// Guards against answers with a malformed field line being passed on, with that
// line or with another body than the peer's.
TEST_CASE("an answer with a malformed field name is a protocol error") {
  using std::string_literals::operator""s;
  for (const std::string& line :
       {"Na me: v"s, "Name : v"s, "Name\t: v"s, " Name: v"s, "\tName: v"s,
        "Na\tme: v"s, "Na\0me: v"s, "\x01Name: v"s, "Name\x1f: v"s,
        "Na\x7fme: v"s, "Na\rme: v"s, "Na\nme: v"s, ": v"s, "Name"s,
        "Na\xe4me: v"s, " Content-Length: 1"s, "Content-Length : 1"s,
        "Transfer-Encoding : chunked"s, "\tTransfer-Encoding: chunked"s}) {
    for (const std::string& head :
         {"HTTP/1.1 200 OK\r\n" + line + "\r\n" + kFields,
          "HTTP/1.1 200 OK\r\nFirst: f\r\n" + line + "\r\n" + kFields,
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok"}) {
      CAPTURE(head);
      const auto result = SendTo(head);
      CHECK(IsProtocolError(result));
    }
  }
}

// Guards against answers that are cut off being taken for complete ones.
TEST_CASE("an answer that is cut off is an error") {
  const std::string answers[] = {
      "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
      "\r\n",
      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "\r\nok",
  };
  for (const std::string& answer : answers) {
    for (std::size_t size = 0; size < answer.size(); ++size) {
      CAPTURE(answer.substr(0, size));
      const auto result = SendTo(answer.substr(0, size));
      CHECK(std::holds_alternative<HttpError>(result));
    }
    CHECK(std::holds_alternative<HttpResponse>(SendTo(answer)));
  }
  // The end of the connection ends a body without a length, but no head.
  const std::string head = "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    CAPTURE(head.substr(0, size));
    CHECK(std::holds_alternative<HttpError>(SendTo(head.substr(0, size))));
  }
  CHECK(std::holds_alternative<HttpResponse>(SendTo(head + "ok")));
}

// Guards against bytes in a status line or a value that may not be there.
TEST_CASE("an answer with a malformed line is a protocol error") {
  using std::string_literals::operator""s;
  for (const std::string& head :
       {"HTTP/1.1  200 OK\r\n"s, "HTTP/1.1\t200 OK\r\n"s,
        " HTTP/1.1 200 OK\r\n"s, "HTTP/2.0 200 OK\r\n"s, "HTTP/1.1200 OK\r\n"s,
        "HTTP/1.1 200 O\x01K\r\n"s, "HTTP/1.1 200 O\0K\r\n"s,
        "HTTP/1.1 200 OK\n"s, "HTTP/1.1 200 OK\r\nA: b\0c\r\n"s,
        "HTTP/1.1 200 OK\r\nA: b\x01\r\n"s, "HTTP/1.1 200 OK\r\nA: b\rc\r\n"s,
        "HTTP/1.1 200 OK\r\nA: b\nC: d\r\n"s,
        "HTTP/1.1 200 OK\r\nA: b\x7f\r\n"s}) {
    CAPTURE(head);
    CHECK(IsProtocolError(SendTo(head + kFields)));
  }
}

// Guards against answers whose length peers may read differently being passed
// on, with another body than the peer's.
TEST_CASE("an answer with an ambiguous length is a protocol error") {
  for (const std::string fields :
       {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 3",
        "Content-Length: x", "Content-Length: -2", "Content-Length: +2",
        "Content-Length: 0x2", "Content-Length: 2 2",
        "Content-Length:", "Content-Length: 99999999999999999999999",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
        "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"}) {
    for (const std::string body : {"2\r\nok\r\n0\r\n\r\n", "ok"}) {
      CAPTURE(fields);
      CAPTURE(body);
      CHECK(IsProtocolError(
          SendTo("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + body)));
    }
  }
  for (const std::string body :
       {"2\r\nokay\r\n0\r\n\r\n", "3\r\nok\r\n0\r\n\r\n",
        "x\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n",
        "2\nok\n0\n\n", "2\r\nok0\r\n\r\n",
        "fffffffffffffffff\r\nok\r\n0\r\n\r\n"}) {
    CAPTURE(body);
    CHECK(std::holds_alternative<HttpError>(SendTo(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body)));
  }
}

// Guards against checks that refuse sound answers.
TEST_CASE("unusual but valid answers are read") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n";
  const std::string answers[] = {
      "HTTP/1.1 200 \r\n" + kFields,
      "HTTP/1.1 299 Odd\r\n" + kFields,
      "HTTP/1.1 599 Odd\r\n" + kFields,
      "HTTP/1.0 200 OK\r\n" + kFields,
      "HTTP/1.1 200 O\xe4K\r\n" + kFields,
      "HTTP/1.1 200 OK\r\nA: \xc3\xa4\tb  c\r\n" + kFields,
      "HTTP/1.1 200 OK\r\nA:\r\nB:b  \r\n" + kFields,
      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0Az: b\r\n" + kFields,
      chunked + "2\r\nok\r\n0\r\n\r\n",
      chunked + "2;a=\"b\"\r\nok\r\n0\r\nTrailer: t\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    const auto result = SendTo(answer);
    const auto* response = std::get_if<HttpResponse>(&result);
    CHECK(response != nullptr);
    if (response != nullptr) {
      CHECK(std::to_string(response->head.status) == answer.substr(9, 3));
      CHECK(response->body == "ok");
    }
  }
}

// Guards against a stream that was broken off looking complete to its caller:
// in HTTP/1.0 the end of the connection is the end of the body.
TEST_CASE("a stream that is broken off does not look complete") {
  for (const std::string version : {"1.0", "1.1"}) {
    CAPTURE(version);
    std::string received;
    boost::system::error_code error;
    NetworkLoop loop;
    loop.Run([&] {
      HttpServerOptions options;
      options.listen = {"127.0.0.1", 0};
      HttpServer server(loop, options, [&](HttpExchange& exchange) {
        exchange.BeginStream({});
        exchange.WritePiece("event");
        loop.SleepFor(Milliseconds(200));
        exchange.AbortStream();
      });
      REQUIRE(server.Start().empty());
      const std::uint16_t port = server.port();
      bool is_done = false;
      std::thread client([&] {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        const std::string request =
            "GET / HTTP/" + version + "\r\nHost: h\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(request));
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        loop.Post([&] { is_done = true; });
      });
      while (!is_done) {
        loop.SleepFor(Milliseconds(1));
      }
      client.join();
      server.Drain();
    });
    CHECK(received.find("event") != std::string::npos);
    const bool has_last_chunk = received.ends_with("0\r\n\r\n");
    const bool looks_complete =
        version == "1.1" ? has_last_chunk : error == boost::asio::error::eof;
    CHECK_FALSE(looks_complete);
  }
}

}  // namespace
}  // namespace bilberryspool::net
