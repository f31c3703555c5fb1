//! Behaviour of a stand-in target, adjustable at run time.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_BEHAVIOUR_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_BEHAVIOUR_HPP

#include "standin_target/target_options.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace pomelo::standin {

//! Load of the target at one point in time.
struct load_report {
  std::chrono::steady_clock::time_point At;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

class behaviour {
public:
  explicit behaviour(const target_options &Options);

  //! Applies the body of POST /standin/control: slow_factor, frozen, cold,
  //! health ("ok", "failing"), load_lag_ms, load_claimed.
  //! \throws pomelo_error BadRequest.
  void control(std::string_view Body);

  //! Current service time of one request.
  [[nodiscard]] std::chrono::microseconds work() const;
  //! Whether the target is cold and sheds a request; \p Open counts all open
  //! requests, including this one.
  [[nodiscard]] bool shedsCold(std::uint32_t Open) const;
  void requestServed();

  [[nodiscard]] bool frozen() const { return Frozen; }
  [[nodiscard]] bool cold() const { return ColdLeft > 0; }
  [[nodiscard]] bool reportsHealthy() const { return ReportsHealthy; }

  //! Records the current load and returns the load to report, which may be
  //! delayed (load_lag_ms) or false (load_claimed).
  boost::json::object reportLoad(const load_report &Now);

private:
  const target_options &Options;
  double SlowFactor = 1;
  bool Frozen = false;
  bool ReportsHealthy = true;
  std::uint32_t ColdLeft;
  std::chrono::milliseconds LoadLag{0};
  std::int64_t LoadClaimed = -1; //!< Running requests reported; -1 for real.
  std::deque<load_report> History;
};

} // namespace pomelo::standin

#endif
