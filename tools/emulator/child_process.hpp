//! Child processes that tests and demos start, pause and stop.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_CHILD_PROCESS_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pomelo::emulator {

//! One child process. The destructor kills it if it is still running.
class child_process {
public:
  //! Starts \p Program and appends its output to \p LogFile.
  //! \throws std::system_error if the process cannot be started.
  child_process(const std::string &Program, std::vector<std::string> Arguments,
                const std::string &LogFile);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  [[nodiscard]] pid_t pid() const { return Pid; }
  void signal(int Number) const;
  void pause() const;
  void resume() const;
  //! Kills the process and waits until it has exited.
  void kill();
  //! Waits up to \p Timeout for the process to exit. Returns its exit code,
  //! 128 + signal if a signal ended it, or nothing on a timeout.
  std::optional<int> wait(std::chrono::milliseconds Timeout);
  [[nodiscard]] bool running();

private:
  std::optional<int> poll();

  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

//! Polls \p Condition until it is true; returns false after \p Timeout.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout);

} // namespace pomelo::emulator

#endif
