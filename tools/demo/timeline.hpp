//! The faults of the demo, one after the other, while the trace is replayed.
#ifndef POMELOSWITCH_TOOLS_DEMO_TIMELINE_HPP
#define POMELOSWITCH_TOOLS_DEMO_TIMELINE_HPP

#include "emulator/deployment.hpp"
#include "judge/violations.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

namespace pomelo::demo {

class timeline {
public:
  explicit timeline(emulator::deployment &Deployment)
      : Deployment(Deployment) {}

  //! Carries out all steps, each at its time after now; returns early when
  //! \p Interrupted becomes true. Prints a line for each step.
  void run(const std::atomic<bool> &Interrupted);

  [[nodiscard]] const std::vector<judge::drain> &drains() const {
    return Drains;
  }

private:
  struct step {
    std::chrono::milliseconds At;
    std::string Text;
    void (timeline::*Do)();
  };

  static const std::vector<step> &steps();

  void killTarget();
  void restartTarget();
  void killEntryHost();
  void restartEntryHost();
  void drainDomain();
  void returnDomain();
  void killLeader();
  void restartLeader();
  void cutDomain();
  void healDomain();

  emulator::deployment &Deployment;
  std::string Leader;
  std::vector<judge::drain> Drains;
};

} // namespace pomelo::demo

#endif
