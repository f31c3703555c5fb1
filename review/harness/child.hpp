//! A process that a case starts and ends.
#ifndef POMELOSWITCH_REVIEW_HARNESS_CHILD_HPP
#define POMELOSWITCH_REVIEW_HARNESS_CHILD_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomelo::review {

//! One child process. The destructor kills it if it still runs; the kernel does
//! so if the case itself is killed.
class child {
public:
  //! Starts \p Words[0] with \p Environment as its whole environment and
  //! appends its output to \p LogFile.
  child(std::vector<std::string> Words, std::vector<std::string> Environment,
        const std::string &LogFile);
  ~child();
  child(const child &) = delete;
  child &operator=(const child &) = delete;

  void signal(int Number);
  //! Kills the process and waits for its end.
  void kill();
  //! The wait status of the process if it has ended.
  std::optional<int> status();

private:
  pid_t Pid = -1;
  std::optional<int> Status;
};

} // namespace pomelo::review

#endif
