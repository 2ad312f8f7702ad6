#include "libs/packing/packed_text.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <string>

#include "libs/base/random.h"

namespace bilberryspool::packing {
namespace {

std::string Routes(int count) {
  Random random(7);
  std::string text = R"({"version":7,"routes":[)";
  for (int i = 0; i < count; ++i) {
    text += R"({"name":"r-)" + std::to_string(random.Below(1U << 30U)) +
            R"(","host":"a.example","kind":"streaming","timeout_ms":8000},)";
  }
  return text + "]}";
}

TEST_CASE("unpacking returns the packed text") {
  for (const std::string& text :
       {std::string(), std::string("{}"), std::string("a\nb\"\0c", 6),
        std::string("zstd:no"), Routes(3), Routes(2000)}) {
    CAPTURE(text.size());
    const PackedText packed = Pack(text);
    CHECK(Unpack(packed) == text);
    CHECK(std::all_of(packed.value.begin(), packed.value.end(), [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '+' ||
             c == '/' || c == ':';
    }));
  }
}

// Guards against a leading control node that loses its leadership while
// configurations of half a megabyte arrive in quick succession. Uncompressed,
// each is written to the log and the disks and sent over all links.
TEST_CASE("a large configuration is packed to a fraction of its size") {
  const std::string text = Routes(2000);
  CHECK(Pack(text).value.size() < text.size() / 4);
}

TEST_CASE("a text that was never packed is returned unchanged") {
  CHECK(Unpack(PackedText{R"({"version":3})"}) == R"({"version":3})");
  CHECK(Unpack(PackedText{}) == std::string());
}

TEST_CASE("damaged or oversized texts are rejected") {
  const std::string whole = Pack(Routes(50)).value;
  CHECK_FALSE(Unpack(PackedText{"zstd:"}).has_value());
  CHECK_FALSE(Unpack(PackedText{"zstd:!!"}).has_value());
  CHECK_FALSE(
      Unpack(PackedText{whole.substr(0, whole.size() / 2)}).has_value());
  CHECK_FALSE(Unpack(PackedText{whole + "AAAA"}).has_value());
  CHECK_FALSE(Unpack(PackedText{whole}, 100).has_value());
  CHECK_FALSE(Unpack(PackedText{std::string(200, 'x')}, 100).has_value());
  Random random(3);
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = whole;
    damaged[5 + random.Below(damaged.size() - 5)] = 'A';
    // Either rejected or of the size that the frame declares, and never above
    // the limit.
    const auto text = Unpack(PackedText{damaged}, 20'000);
    CHECK((!text.has_value() || text->size() <= 20'000));
  }
}

}  // namespace
}  // namespace bilberryspool::packing
