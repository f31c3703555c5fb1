//! How a stand-in target behaves, as set at run time.
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

//! What the load endpoint tells of one moment.
struct load_report {
  std::chrono::steady_clock::time_point At;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

class behaviour {
public:
  explicit behaviour(const target_options &Options);

  //! Changes what POST /standin/control names: slow_factor, frozen, cold,
  //! health ("ok", "failing"), load_lag_ms, load_claimed.
  //! \throws pomelo_error BadRequest.
  void control(std::string_view Body);

  //! Time that one request takes now.
  [[nodiscard]] std::chrono::microseconds work() const;
  //! Whether one more request beside \p Open others is too much while cold.
  [[nodiscard]] bool shedsCold(std::uint32_t Open) const;
  void requestServed();

  [[nodiscard]] bool frozen() const { return Frozen; }
  [[nodiscard]] bool cold() const { return ColdLeft > 0; }
  [[nodiscard]] bool claimsHealth() const { return ClaimsHealth; }

  //! Notes the load of now and returns what is claimed about it, which may be
  //! old or untrue.
  boost::json::object claimLoad(const load_report &Now);

private:
  const target_options &Options;
  double SlowFactor = 1;
  bool Frozen = false;
  bool ClaimsHealth = true;
  std::uint32_t ColdLeft;
  std::chrono::milliseconds LoadLag{0};
  std::int64_t LoadClaimed = -1; //!< Running requests to claim; -1 for true.
  std::deque<load_report> History;
};

} // namespace pomelo::standin

#endif
