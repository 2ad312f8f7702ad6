#ifndef PLUGINS_OPERATORS_TEXT_H_
#define PLUGINS_OPERATORS_TEXT_H_

#include <string>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::operators {

// Seconds, rounded to tenths.
double RoundedSeconds(Duration duration);

// "0.3 s".
std::string SecondsText(Duration duration);

// "a, b"; "-" if there are none.
template <typename Id>
std::string JoinIds(const std::vector<Id>& ids) {
  std::string text;
  for (const Id& id : ids) {
    text += (text.empty() ? "" : ", ") + id.value();
  }
  return text.empty() ? "-" : text;
}

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_TEXT_H_
