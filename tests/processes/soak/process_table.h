// Child processes by name. Only processes started by this table are killed.

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

  // Starts a program and appends its output to `log`. Returns an error message,
  // empty on success.
  std::string Start(const std::string& name,
                    const std::vector<std::string>& command,
                    const std::string& log);
  // Sends SIGSTOP, SIGCONT, SIGHUP or SIGTERM if the process is running.
  void Signal(const std::string& name, int signal);
  // Sends SIGKILL and waits for the process to exit.
  void Kill(const std::string& name);
  void KillAll();
  bool IsRunning(const std::string& name);
  // Peak resident memory of the process in KiB; 0 if unknown.
  std::uint64_t PeakKib(const std::string& name) const;

 private:
  std::map<std::string, pid_t> processes_;
};

}  // namespace bilberryspool::soak

#endif  // TESTS_PROCESSES_SOAK_PROCESS_TABLE_H_
