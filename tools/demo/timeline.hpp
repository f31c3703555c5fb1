//! The sequence of faults that the demo injects during the replay.
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

  //! Runs all steps, each at its offset from the call, and prints a line for
  //! each. Returns early when \p Interrupted becomes true.
  //! \throws std::runtime_error if a command fails.
  void run(const std::atomic<bool> &Interrupted);

  [[nodiscard]] const std::vector<judge::drain> &drains() const {
    return Drains;
  }

private:
  struct step {
    std::chrono::milliseconds At;
    std::string Description;
    void (timeline::*Action)();
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
