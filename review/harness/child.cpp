#include "child.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <stdexcept>

namespace pomelo::review {
namespace {

constexpr int LogFileMode = 0644;
constexpr int CannotExecute = 127;

std::vector<char *> pointersTo(std::vector<std::string> &Texts) {
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

} // namespace

child::child(std::vector<std::string> Words,
             std::vector<std::string> Environment, const std::string &LogFile) {
  const std::vector<char *> Arguments = pointersTo(Words);
  const std::vector<char *> Variables = pointersTo(Environment);
  const int Log = ::open(
      LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogFileMode);
  Pid = ::fork();
  if (Pid < 0 || Log < 0)
    throw std::runtime_error("cannot start " + Words.front());
  if (Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    ::execve(Arguments.front(), Arguments.data(), Variables.data());
    ::_exit(CannotExecute);
  }
  ::close(Log);
}

child::~child() { kill(); }

void child::signal(int Number) {
  if (!status())
    ::kill(Pid, Number);
}

void child::kill() {
  if (status())
    return;
  ::kill(Pid, SIGKILL);
  int Ended = 0;
  while (::waitpid(Pid, &Ended, 0) < 0 && errno == EINTR) {
  }
  Status = Ended;
}

std::optional<int> child::status() {
  int Ended = 0;
  if (!Status && ::waitpid(Pid, &Ended, WNOHANG) == Pid)
    Status = Ended;
  return Status;
}

} // namespace pomelo::review
