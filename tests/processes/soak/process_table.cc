#include "processes/soak/process_table.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>

namespace bilberryspool::soak {

namespace {

constexpr mode_t kLogMode = 0644;

}  // namespace

ProcessTable::~ProcessTable() {
  KillAll();
}

void ProcessTable::KillAll() {
  while (!processes_.empty()) {
    Kill(processes_.begin()->first);
  }
}

std::string ProcessTable::Start(const std::string& name,
                                const std::vector<std::string>& command,
                                const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    // posix_spawn does not modify the arguments.
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t process = 0;
  const int error = posix_spawn(&process, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return command[0] + ": " + std::strerror(error);
  }
  processes_[name] = process;
  return "";
}

void ProcessTable::Signal(const std::string& name, int signal) {
  if (IsRunning(name)) {
    ::kill(processes_.at(name), signal);
  }
}

void ProcessTable::Kill(const std::string& name) {
  if (IsRunning(name)) {
    ::kill(processes_.at(name), SIGKILL);
    ::waitpid(processes_.at(name), nullptr, 0);
  }
  processes_.erase(name);
}

bool ProcessTable::IsRunning(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    return false;
  }
  if (::waitpid(found->second, nullptr, WNOHANG) == 0) {
    return true;
  }
  processes_.erase(found);
  return false;
}

std::uint64_t ProcessTable::PeakKib(const std::string& name) const {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(found->second) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      std::uint64_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

}  // namespace bilberryspool::soak
