#include "libs/language/expectations.h"

namespace bilberryspool::language::internal {

void Expectations::AddWord(std::size_t offset, const std::string& word) {
  if (AdvanceTo(offset)) {
    words_.insert(word);
  }
}

void Expectations::AddDescription(std::size_t offset,
                                  const std::string& description) {
  if (AdvanceTo(offset)) {
    descriptions_.insert(description);
  }
}

bool Expectations::AdvanceTo(std::size_t offset) {
  if (offset > furthest_offset_) {
    furthest_offset_ = offset;
    words_.clear();
    descriptions_.clear();
  }
  return offset == furthest_offset_;
}

}  // namespace bilberryspool::language::internal
