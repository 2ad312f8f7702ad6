#ifndef LIBS_LANGUAGE_EXPECTATIONS_H_
#define LIBS_LANGUAGE_EXPECTATIONS_H_

#include <cstddef>
#include <set>
#include <string>

namespace bilberryspool::language::internal {

// What was expected at the furthest place that a parse came to. An alternative
// that failed earlier says nothing about what the operator meant.
class Expectations {
 public:
  void AddWord(std::size_t offset, const std::string& word);
  void AddDescription(std::size_t offset, const std::string& description);

  std::size_t offset() const { return furthest_offset_; }
  const std::set<std::string>& words() const { return words_; }
  const std::set<std::string>& descriptions() const { return descriptions_; }

 private:
  // False where `place` lies before the furthest one.
  bool AdvanceTo(std::size_t offset);

  std::size_t furthest_offset_ = 0;
  std::set<std::string> words_;
  std::set<std::string> descriptions_;
};

}  // namespace bilberryspool::language::internal

#endif  // LIBS_LANGUAGE_EXPECTATIONS_H_
