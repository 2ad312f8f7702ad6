#include "tools/load/load_report.h"

#include <algorithm>
#include <iomanip>

namespace bilberryspool::load {
namespace {

double Percentile(std::vector<Duration> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return ToMilliseconds(values[rank]);
}

void PrintLatency(std::ostream& out,
                  const char* name,
                  const std::vector<Duration>& values) {
  out << std::left << std::setw(14) << name << std::right << std::fixed
      << std::setprecision(2);
  for (const double share : {0.5, 0.95, 0.99}) {
    out << std::setw(10) << Percentile(values, share);
  }
  out << "\n";
}

}  // namespace

void LoadReport::Add(const CallResult& result) {
  ++total_;
  ++outcomes_[result.outcome];
  if (result.outcome != "answered") {
    return;
  }
  if (!result.is_correct) {
    ++wrong_answers_;
  }
  tokens_ += result.tokens;
  first_tokens_.push_back(result.first_token);
  totals_.push_back(result.total);
}

std::uint64_t LoadReport::outcome(const std::string& name) const {
  const auto found = outcomes_.find(name);
  return found == outcomes_.end() ? 0 : found->second;
}

void LoadReport::Print(std::ostream& out, Duration elapsed) const {
  const double seconds = std::max(ToSeconds(elapsed), 1e-6);
  out << "requests " << total_ << ", wrong answers " << wrong_answers_ << "\n";
  for (const auto& [name, count] : outcomes_) {
    out << "  " << name << " " << count << "\n";
  }
  out << std::fixed << std::setprecision(1) << "requests/s "
      << static_cast<double>(total_) / seconds << ", tokens/s "
      << static_cast<double>(tokens_) / seconds << "\n";
  out << "latency, ms          p50       p95       p99\n";
  PrintLatency(out, "first token", first_tokens_);
  PrintLatency(out, "total", totals_);
}

}  // namespace bilberryspool::load
