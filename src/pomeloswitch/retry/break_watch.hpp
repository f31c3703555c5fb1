//! Requests whose connection a target broke off, until it is known why.
#ifndef POMELOSWITCH_RETRY_BREAK_WATCH_HPP
#define POMELOSWITCH_RETRY_BREAK_WATCH_HPP

#include "pomeloswitch/retry/request_records.hpp"
#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <deque>
#include <vector>

namespace pomelo {

//! A target that announces itself as a new incarnation soon after such a break
//! has crashed.
class break_watch {
public:
  using time_point = std::chrono::steady_clock::time_point;

  void add(crash_report Break, time_point Now);

  //! Takes out the breaks whose target is back as a new incarnation.
  std::vector<crash_report> restarted(const routing_view &View, time_point Now);

private:
  struct watched_break {
    crash_report Break;
    time_point Until;
  };

  std::deque<watched_break> Watched; //!< Oldest first.
};

} // namespace pomelo

#endif
