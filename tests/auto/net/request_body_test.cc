// Bodies and heads as clients may send them, within the limits and beyond.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::net {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kMaxBody = 512UL * 1024;
constexpr std::size_t kMaxHead = 16UL * 1024;

HttpServerOptions Options() {
  HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.max_header_bytes = kMaxHead;
  options.max_body_bytes = kMaxBody;
  return options;
}

// What a request became at the server, and what its client received.
struct Exchanged {
  std::string body;
  std::string fields;
  std::string received;
};

// Sends `text` to a server and reads until the server closes.
Exchanged Send(const std::string& text) {
  Exchanged exchanged;
  NetworkLoop loop;
  loop.Run([&] {
    HttpServer server(loop, Options(), [&](HttpExchange& exchange) {
      exchanged.body = exchange.request().body;
      for (const HttpHeader& field : exchange.request().headers) {
        exchanged.fields += field.name + "=" + field.value + ";";
      }
      exchange.Respond({}, "");
    });
    REQUIRE(server.Start().empty());
    const std::uint16_t port = server.port();
    bool is_done = false;
    std::thread client([&] {
      boost::asio::io_context io;
      tcp::socket socket(io);
      socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
      boost::system::error_code error;
      boost::asio::write(socket, boost::asio::buffer(text), error);
      boost::asio::read(socket, boost::asio::dynamic_buffer(exchanged.received),
                        error);
      loop.Post([&] { is_done = true; });
    });
    while (!is_done) {
      loop.SleepFor(Milliseconds(1));
    }
    client.join();
    server.Drain();
  });
  return exchanged;
}

std::string Head(const std::string& fields) {
  return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields +
         "\r\n";
}

std::string Chunk(const std::string& data, const std::string& extension = "") {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx", data.size());
  return size + extension + "\r\n" + data + "\r\n";
}

std::string MakeBody(std::size_t size) {
  std::string body(size, ' ');
  for (std::size_t i = 0; i < size; ++i) {
    body[i] = static_cast<char>(i % 251);
  }
  return body;
}

std::string InChunks(const std::string& body,
                     std::size_t chunk_bytes,
                     const std::string& extension = "") {
  std::string text;
  for (std::size_t i = 0; i < body.size(); i += chunk_bytes) {
    text += Chunk(body.substr(i, chunk_bytes), extension);
  }
  return text;
}

TEST_CASE("a body of exactly the limit arrives unchanged") {
  const std::string body = MakeBody(kMaxBody);
  struct Row {
    const char* name;
    std::string text;
  };
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n");
  const std::string end = "0\r\n\r\n";
  const Row rows[] = {
      {"with a length",
       Head("Content-Length: " + std::to_string(kMaxBody) + "\r\n") + body},
      {"in one chunk", chunked + Chunk(body) + end},
      {"in chunks of 16 bytes", chunked + InChunks(body, 16) + end},
      {"in chunks of 1 byte", chunked + InChunks(body, 1) + end},
      {"with extensions",
       chunked + InChunks(body, 4096, ";name=\"value\"") + end},
      {"with trailers",
       chunked + InChunks(body, 4096) + "0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Exchanged exchanged = Send(row.text);
    CHECK(exchanged.body.size() == body.size());
    CHECK((exchanged.body == body));
    CHECK(exchanged.received.starts_with("HTTP/1.1 200 "));
  }
}

// Guards against fields that are added to a head after it was checked, such as
// another Host.
TEST_CASE("trailers are no header fields") {
  const Exchanged exchanged =
      Send(Head("Transfer-Encoding: chunked\r\n") + Chunk("x") +
           "0\r\nHost: other\r\nApi-Key: k2\r\n\r\n");
  CHECK(exchanged.body == "x");
  CHECK(exchanged.fields ==
        "Host=h;Connection=close;Transfer-Encoding=chunked;");
}

TEST_CASE("a head of exactly the limit is served, a longer one is not") {
  const std::string rest = Head(
      "Content-Length: 1\r\n"
      "X-Filler: \r\n");
  const std::string filler(kMaxHead - rest.size(), 'a');
  const std::string fields = "Content-Length: 1\r\nX-Filler: ";
  CHECK(Send(Head(fields + filler + "\r\n") + "x").body == "x");
  const Exchanged refused = Send(Head(fields + filler + "a\r\n") + "x");
  CHECK(refused.received.starts_with("HTTP/1.1 431"));
}

// Guards against servers that read a body, trailers or a chunk extension beyond
// any limit, and against clients that get a reset instead of the reason.
TEST_CASE("what is over a limit is refused") {
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n");
  const std::string filler(64 * kMaxHead, 'a');
  struct Row {
    const char* name;
    std::string text;
    const char* status;
  };
  const Row rows[] = {
      {"announced body",
       Head("Content-Length: " + std::to_string(kMaxBody + 1) + "\r\n"), "413"},
      {"chunked body", chunked + Chunk(MakeBody(kMaxBody)) + "1\r\n", "413"},
      {"announced body that is sent",
       Head("Content-Length: " + std::to_string(2 * kMaxBody) + "\r\n") +
           MakeBody(2 * kMaxBody),
       "413"},
      {"one chunk", chunked + "ffffffffff\r\n", "413"},
      {"trailers", chunked + "0\r\nX-Filler: " + filler, "431"},
      {"chunk extension", chunked + "1;" + filler, "431"},
      {"head", "POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + filler, "431"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Exchanged exchanged = Send(row.text);
    CHECK(exchanged.fields.empty());
    CHECK(
        exchanged.received.starts_with(std::string("HTTP/1.1 ") + row.status));
  }
}

}  // namespace
}  // namespace bilberryspool::net
