//! Which response times of targets an entry host reports to the leader.
#ifndef POMELOSWITCH_ENTRY_SPEED_CHANGES_HPP
#define POMELOSWITCH_ENTRY_SPEED_CHANGES_HPP

#include <cstddef>
#include <map>
#include <string>

namespace pomelo {

//! Seconds, by target id.
using response_times = std::map<std::string, double>;

//! Reports the times that have changed and the others in turn: a leader knows
//! nothing of what its predecessor was told, and a heartbeat may be lost.
class speed_changes {
public:
  //! A time that does not change is repeated once in so many reports.
  static constexpr std::size_t RepeatEvery = 10;

  //! Returns the times of \p Latest for the next report.
  response_times take(const response_times &Latest);

private:
  response_times Reported;
  std::size_t Turn = 0;
};

} // namespace pomelo

#endif
