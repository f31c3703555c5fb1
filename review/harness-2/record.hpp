//! What a case writes down: one line for each thing sent, answered and run.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_RECORD_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_RECORD_HPP

#include <chrono>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>

namespace review {

//! Seconds since the record was opened.
using seconds = double;

//! A thread-safe log with the time of each line.
class record {
public:
  explicit record(const std::string &Path);

  [[nodiscard]] seconds now() const;
  void line(const std::string &Text);
  //! Like line(), and also to standard output.
  void say(const std::string &Text);

private:
  std::chrono::steady_clock::time_point Start;
  std::mutex Mutex;
  std::ofstream File;
};

//! Waits until the given time of \p Record.
void sleepUntil(const record &Record, seconds Time);
void sleepFor(seconds Duration);

//! Exit status of a case.
enum class verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

//! Whether the disruption is to happen: unless TROUBLE=0.
bool troubleWanted();

//! Runs \p Play with the record file that the arguments name; returns the exit
//! code.
int runCase(int Count, char **Arguments, const std::string &Rule,
            const std::function<verdict(record &)> &Play);

} // namespace review

#endif
