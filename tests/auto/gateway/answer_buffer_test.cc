#include <doctest/doctest.h>

#include <list>
#include <string>

#include "plugins/gateway/answer_buffer.h"

namespace bilberryspool::gateway {
namespace {

// Guards against a gateway that has no memory left, or no room for sound
// answers, where targets send answers that never end.
TEST_CASE("answers without an end take bounded room and leave some to others") {
  const std::string piece(16UL * 1024, 'a');
  std::size_t total = 0;
  {
    std::list<AnswerBuffer> endless;
    for (int i = 0; i < 40; ++i) {
      AnswerBuffer& answer = endless.emplace_back(total);
      while (answer.Append(piece)) {
      }
      CHECK(answer.size() <= AnswerBuffer::kMaxBytes);
    }
    CHECK(total <= AnswerRoom::kMaxLargeTotal + 40 * AnswerRoom::kLargeBytes);
    AnswerBuffer sound(total);
    CHECK(sound.Append(piece));
  }
  CHECK(total == 0);
}

// The same where so many grow at a time that they could not all be large.
TEST_CASE("the room does not grow with the number of answers without an end") {
  for (const std::size_t count : {40, 4000}) {
    for (const std::size_t piece_bytes : {1000, 16 * 1024}) {
      CAPTURE(count);
      CAPTURE(piece_bytes);
      const std::string piece(piece_bytes, 'a');
      std::size_t total = 0;
      {
        std::list<AnswerBuffer> endless;
        for (std::size_t i = 0; i < count; ++i) {
          endless.emplace_back(total);
        }
        bool is_growing = true;
        while (is_growing) {
          is_growing = false;
          for (AnswerBuffer& answer : endless) {
            is_growing = answer.Append(piece) || is_growing;
            REQUIRE(answer.size() <= AnswerBuffer::kMaxBytes);
          }
        }
        CHECK(total <= AnswerRoom::kMaxTotal + count * AnswerRoom::kSmallBytes);
        AnswerBuffer sound(total);
        CHECK(sound.Append(std::string(AnswerRoom::kSmallBytes, 'a')));
      }
      CHECK(total == 0);
    }
  }
}

}  // namespace
}  // namespace bilberryspool::gateway
