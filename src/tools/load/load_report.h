// Collects and prints the results of a load run.

#ifndef TOOLS_LOAD_LOAD_REPORT_H_
#define TOOLS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::load {

// One finished request, as seen by the caller.
struct CallResult {
  // "answered", "not-run", "unknown", "status" with the HTTP status, "broken"
  // with the reason, or that the request was not sent.
  std::string outcome;
  // Whether the answer was complete and belonged to this request.
  bool is_correct = false;
  std::uint64_t tokens = 0;
  Duration first_token{};
  Duration total{};
};

class LoadReport {
 public:
  void Add(const CallResult& result);

  std::uint64_t total() const { return total_; }
  std::uint64_t wrong_answers() const { return wrong_answers_; }
  std::uint64_t outcome(const std::string& name) const;

  // Prints a short table of outcomes, rates and latencies.
  void Print(std::ostream& out, Duration elapsed) const;

 private:
  std::uint64_t total_ = 0;
  std::uint64_t wrong_answers_ = 0;
  std::uint64_t tokens_ = 0;
  std::map<std::string, std::uint64_t> outcomes_;
  std::vector<Duration> first_tokens_;
  std::vector<Duration> totals_;
};

}  // namespace bilberryspool::load

#endif  // TOOLS_LOAD_LOAD_REPORT_H_
