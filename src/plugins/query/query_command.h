#ifndef PLUGINS_QUERY_QUERY_COMMAND_H_
#define PLUGINS_QUERY_QUERY_COMMAND_H_

#include <string>
#include <vector>

namespace bilberryspool::query {

// The subcommand `query`: runs the statement made of `words`, or a prompt if
// there are none. The flags name the entries. Returns the program's exit code.
int RunQuery(const std::vector<std::string>& words);

}  // namespace bilberryspool::query

#endif  // PLUGINS_QUERY_QUERY_COMMAND_H_
