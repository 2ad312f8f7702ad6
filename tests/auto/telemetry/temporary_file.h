#ifndef TESTS_AUTO_TELEMETRY_TEMPORARY_FILE_H_
#define TESTS_AUTO_TELEMETRY_TEMPORARY_FILE_H_

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace bilberryspool::telemetry {

// A path for one test, removed before and after it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& name)
      : path_(std::filesystem::current_path() / ("telemetry_test_" + name)) {
    std::filesystem::remove(path_);
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }

  std::string path() const { return path_.string(); }

  std::vector<std::string> ReadLines() const {
    std::ifstream file(path_);
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(file, line)) {
      lines.push_back(line);
    }
    return lines;
  }

 private:
  const std::filesystem::path path_;
};

}  // namespace bilberryspool::telemetry

#endif  // TESTS_AUTO_TELEMETRY_TEMPORARY_FILE_H_
