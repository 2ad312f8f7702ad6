// Reads the parts of a prompt from the header field that lists them.

#ifndef LIBS_TRAFFIC_PROMPT_PARTS_H_
#define LIBS_TRAFFIC_PROMPT_PARTS_H_

#include <string>
#include <string_view>
#include <vector>

namespace bilberryspool::traffic {

// Returns the ids of the parts that other requests may share: all but the last
// of `list` ("ID:TOKENS,ID:TOKENS,..."), each once, in lower case. Entries
// without an id are skipped, and of a long list only the first 64 are read.
std::vector<std::string> ReadSharedPromptParts(std::string_view list);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_PROMPT_PARTS_H_
