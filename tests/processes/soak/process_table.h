// Processes that this one has started, by name. It ends no others.

#ifndef TESTS_PROCESSES_SOAK_PROCESS_TABLE_H_
#define TESTS_PROCESSES_SOAK_PROCESS_TABLE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryspool::soak {

class ProcessTable {
 public:
  ProcessTable() = default;
  ~ProcessTable();
  ProcessTable(const ProcessTable&) = delete;
  ProcessTable& operator=(const ProcessTable&) = delete;

  // Starts a program whose output is added to `log`. Empty, or what went
  // wrong.
  std::string Start(const std::string& name,
                    const std::vector<std::string>& command,
                    const std::string& log);
  // SIGSTOP, SIGCONT, SIGHUP or SIGTERM; nothing where it does not run.
  void Signal(const std::string& name, int signal);
  // SIGKILL; returns once the process has ended.
  void Kill(const std::string& name);
  void KillAll();
  bool IsRunning(const std::string& name);
  // The most memory that the process has used, in KiB; 0 where it is unknown.
  std::uint64_t PeakKib(const std::string& name) const;

 private:
  std::map<std::string, pid_t> processes_;
};

}  // namespace bilberryspool::soak

#endif  // TESTS_PROCESSES_SOAK_PROCESS_TABLE_H_
