#ifndef PLUGINS_QUERY_PROMPT_H_
#define PLUGINS_QUERY_PROMPT_H_

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "plugins/query/query_client.h"

namespace bilberryspool::query {

// Reads statements line by line and prints their answers.
//
//   history     lists the lines so far
//   !3          runs line 3 again, as a new statement
//   drain ?     lists the words that could stand in place of "?"
//   quit        ends, as does the end of the input
class Prompt {
 public:
  using ExecuteFunction =
      std::function<QueryResult(const std::string& statement)>;

  explicit Prompt(ExecuteFunction execute);

  // Returns the exit code of the last statement.
  ExitCode Run(std::istream& in, std::ostream& out);

 private:
  void PrintHistory(std::ostream& out) const;
  // The line that "!N" refers to; empty if there is none.
  std::string ExpandHistory(const std::string& line) const;

  ExecuteFunction execute_;
  std::vector<std::string> history_;
};

}  // namespace bilberryspool::query

#endif  // PLUGINS_QUERY_PROMPT_H_
