#ifndef LIBS_LANGUAGE_EXPECTATIONS_H_
#define LIBS_LANGUAGE_EXPECTATIONS_H_

#include <cstddef>
#include <set>
#include <string>

namespace bilberryspool::language::internal {

// Collects the tokens that were expected at the furthest offset that a parse
// reached. Alternatives that failed earlier are ignored, as they don't help to
// explain the error.
class Expectations {
 public:
  void AddWord(std::size_t offset, const std::string& word);
  void AddDescription(std::size_t offset, const std::string& description);

  std::size_t offset() const { return furthest_offset_; }
  const std::set<std::string>& words() const { return words_; }
  const std::set<std::string>& descriptions() const { return descriptions_; }

 private:
  // Discards the collected tokens if `offset` lies beyond the furthest offset.
  // Returns false if it lies before it.
  bool AdvanceTo(std::size_t offset);

  std::size_t furthest_offset_ = 0;
  std::set<std::string> words_;
  std::set<std::string> descriptions_;
};

}  // namespace bilberryspool::language::internal

#endif  // LIBS_LANGUAGE_EXPECTATIONS_H_
