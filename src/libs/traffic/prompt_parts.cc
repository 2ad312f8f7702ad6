#include "libs/traffic/prompt_parts.h"

#include <algorithm>
#include <cstddef>

namespace bilberryspool::traffic {

namespace {

// Bounds the work for one request.
constexpr std::size_t kMaxParts = 64;

std::string_view WithoutBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::string ReadId(std::string_view entry) {
  std::string id(WithoutBlanks(entry.substr(0, entry.find(':'))));
  std::transform(id.begin(), id.end(), id.begin(),
                 [](unsigned char byte) { return std::tolower(byte); });
  return id;
}

}  // namespace

std::vector<std::string> ReadSharedPromptParts(std::string_view list) {
  std::vector<std::string> ids;
  for (std::size_t comma = list.find(',');
       comma != std::string_view::npos && ids.size() < kMaxParts;
       comma = list.find(',')) {
    std::string id = ReadId(list.substr(0, comma));
    list.remove_prefix(comma + 1);
    if (!id.empty() && std::find(ids.begin(), ids.end(), id) == ids.end()) {
      ids.push_back(std::move(id));
    }
  }
  return ids;
}

}  // namespace bilberryspool::traffic
