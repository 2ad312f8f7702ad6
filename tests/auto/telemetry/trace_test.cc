#include <doctest/doctest.h>

#include <cstdlib>

#include <boost/json.hpp>

#include "auto/telemetry/temporary_file.h"
#include "libs/telemetry/trace.h"

namespace bilberryspool::telemetry {
namespace {

constexpr const char* kValid =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

std::string Replaced(std::size_t at, const std::string& part) {
  return std::string(kValid).replace(at, part.size(), part);
}

TEST_CASE("traceparent is parsed as W3C Trace Context requires") {
  struct Row {
    std::string header;
    bool is_valid;
    bool is_sampled;
  };
  const Row rows[] = {
      {kValid, true, true},
      {Replaced(53, "00"), true, false},
      {Replaced(53, "03"), true, true},
      {Replaced(0, "cc"), true, true},
      {Replaced(0, "cc") + "-what-the-future", true, true},
      {Replaced(0, "cc") + ".what", false, false},
      {std::string(kValid) + "-more", false, false},
      {Replaced(0, "ff"), false, false},
      {Replaced(3, std::string(32, '0')), false, false},
      {Replaced(36, std::string(16, '0')), false, false},
      {Replaced(3, "4BF9"), false, false},
      {Replaced(35, "_"), false, false},
      {std::string(kValid).substr(0, 54), false, false},
      {"", false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.header);
    const auto context = ParseTraceparent(row.header);
    REQUIRE(context.has_value() == row.is_valid);
    if (!context) {
      continue;
    }
    CHECK(context->is_sampled == row.is_sampled);
    CHECK(ParseTraceparent(FormatTraceparent(*context)) == context);
  }
  CHECK(FormatTraceparent(*ParseTraceparent(kValid)) == kValid);
}

TEST_CASE("any header is rejected or parsed to a context that round-trips") {
  const char* seeds_text = std::getenv("BILBERRYSPOOL_SEEDS");
  const int seeds = seeds_text != nullptr ? std::atoi(seeds_text) : 500;
  for (int seed = 0; seed < seeds; ++seed) {
    CAPTURE(seed);
    Random random(static_cast<std::uint64_t>(seed));
    const TraceContext made = NewTrace(random, random.Chance(0.5));
    const TraceContext child = ChildOf(made, random);
    CHECK(child.trace_id == made.trace_id);
    CHECK(child.span_id != made.span_id);
    std::string header = FormatTraceparent(child);
    CHECK(ParseTraceparent(header) == child);
    header[random.Below(header.size())] = static_cast<char>(random.Below(256));
    header.resize(random.Below(60), '-');
    const auto context = ParseTraceparent(header);
    if (context) {
      CHECK(ParseTraceparent(FormatTraceparent(*context)) == context);
    }
  }
}

Span MakeSpan(bool is_sampled) {
  Span span;
  span.name = "relay";
  span.context = *ParseTraceparent(kValid);
  span.context.is_sampled = is_sampled;
  span.parent = span.context.span_id;
  span.kind = SpanKind::kServer;
  span.start = WallTime(1);
  span.end = WallTime(18446744073709551615ULL);
  span.attributes = {{"target", std::string("a\"b")},
                     {"tries", std::int64_t{2}},
                     {"whole", true}};
  span.error = "late";
  return span;
}

TEST_CASE("sampled spans become lines of OTLP/JSON") {
  const TemporaryFile file("spans");
  {
    auto opened = SpanWriter::Open(
        {file.path(), {{"service.name", std::string("entry")}}});
    auto& writer = std::get<SpanWriter>(opened);
    writer.Write(MakeSpan(false));
    writer.Write(MakeSpan(true));
    writer.Stop();
    writer.Write(MakeSpan(true));
    CHECK(writer.written() == 1);
    CHECK(writer.dropped() == 1);
  }
  const std::vector<std::string> lines = file.ReadLines();
  REQUIRE(lines.size() == 1);
  const auto root = boost::json::parse(lines[0]);
  const auto& origin = root.at("resourceSpans").at(0);
  CHECK(origin.at("resource").at("attributes").at(0).at("key") ==
        "service.name");
  const auto& span = origin.at("scopeSpans").at(0).at("spans").at(0);
  CHECK(span.at("traceId") == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(span.at("parentSpanId") == "00f067aa0ba902b7");
  CHECK(span.at("kind") == 2);
  CHECK(span.at("endTimeUnixNano") == "18446744073709551615");
  CHECK(span.at("attributes").at(1).at("value").at("intValue") == "2");
  CHECK(span.at("status").at("code") == 2);
}

// Guards against traces that fill the disk of a control replica: with sampled
// requests over weeks, a file without a size limit only grows.
TEST_CASE("each span is written, dropped or failed; the file is bounded") {
  const TemporaryFile file("bounded");
  const TemporaryFile previous("bounded.1");
  constexpr std::uint64_t spans = 3000;
  auto opened = SpanWriter::Open({file.path(), {}, 64, 20000});
  auto& writer = std::get<SpanWriter>(opened);
  for (std::uint64_t i = 0; i < spans; ++i) {
    writer.Write(MakeSpan(true));
  }
  writer.Stop();
  CHECK(writer.written() + writer.dropped() == spans);
  CHECK(writer.failed() == 0);
  // The last line, at most one full ring, may exceed the limit.
  CHECK(std::filesystem::file_size(file.path()) < 20000 + 64 * 600);
  CHECK_FALSE(previous.ReadLines().empty());

  auto full = SpanWriter::Open({"/dev/full"});
  auto& failing = std::get<SpanWriter>(full);
  failing.Write(MakeSpan(true));
  failing.Stop();
  CHECK(failing.failed() == 1);
  CHECK(failing.written() == 0);
  const auto refused = SpanWriter::Open({"/no-such-folder/spans"});
  CHECK(std::holds_alternative<SpanWriterError>(refused));
}

}  // namespace
}  // namespace bilberryspool::telemetry
