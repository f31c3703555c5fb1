#include "record.hpp"

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace review {

record::record(const std::string &Path)
    : Start(std::chrono::steady_clock::now()), File(Path) {}

seconds record::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

void record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", now());
  const std::lock_guard Lock(Mutex);
  File << Time << Text << std::endl;
}

void record::say(const std::string &Text) {
  line(Text);
  std::printf("%8.3f  %s\n", now(), Text.c_str());
  std::fflush(stdout);
}

void sleepFor(seconds Duration) {
  if (Duration > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Duration));
}

void sleepUntil(const record &Record, seconds Time) {
  sleepFor(Time - Record.now());
}

bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

int runCase(int Count, char **Arguments, const std::string &Rule,
            const std::function<verdict(record &)> &Play) {
  if (Count != 2)
    return static_cast<int>(verdict::CouldNotRun);
  record Record(Arguments[1]);
  const verdict Verdict = Play(Record);
  Record.say(Verdict == verdict::Broken ? Rule + " is broken"
             : Verdict == verdict::Held ? Rule + " holds"
                                        : "the case could not run");
  return static_cast<int>(Verdict);
}

} // namespace review
