#include "emulator/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <thread>

namespace pomelo::emulator {
namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr int SignalExitBase = 128;
constexpr int LogFileMode = 0644;

} // namespace

child_process::child_process(const std::string &Program,
                             std::vector<std::string> Arguments,
                             const std::string &LogFile) {
  std::vector<char *> Argv{const_cast<char *>(Program.c_str())};
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogFileMode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const int Error = posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                                Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::system_error(Error, std::generic_category(), Program);
}

child_process::~child_process() { kill(); }

void child_process::signal(int Number) const {
  if (!ExitCode)
    ::kill(Pid, Number);
}

void child_process::pause() const { signal(SIGSTOP); }

void child_process::resume() const { signal(SIGCONT); }

void child_process::kill() {
  if (poll())
    return;
  ::kill(Pid, SIGKILL);
  int Status = 0;
  waitpid(Pid, &Status, 0);
  ExitCode = SignalExitBase + SIGKILL;
}

std::optional<int> child_process::poll() {
  int Status = 0;
  if (!ExitCode && waitpid(Pid, &Status, WNOHANG) == Pid)
    ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                 : SignalExitBase + WTERMSIG(Status);
  return ExitCode;
}

std::optional<int> child_process::wait(std::chrono::milliseconds Timeout) {
  waitUntil([this] { return poll().has_value(); }, Timeout);
  return ExitCode;
}

bool child_process::running() { return !poll().has_value(); }

bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace pomelo::emulator
