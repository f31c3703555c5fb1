//! Deciding where one request goes, when, and when not at all.
//!
//! It has no clock, sockets or timers: the exchange asks it again and again
//! with the latest view and the time until it names a target or refuses.
#ifndef POMELOSWITCH_SENDING_TARGET_WAIT_HPP
#define POMELOSWITCH_SENDING_TARGET_WAIT_HPP

#include "pomeloswitch/sending/send_state.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! What a request asks for.
struct send_wish {
  std::string Service;
  std::optional<std::string> Key; //!< Where the service is divided by key.
  std::uint32_t Priority = 0;     //!< 0 is the most urgent.
  std::chrono::steady_clock::time_point Deadline;
  std::chrono::milliseconds Aim{0}; //!< 0 where the route has none.
  std::uint64_t BodyBytes = 0;
  std::vector<std::string> Tried; //!< Targets that are not to get it again.
};

//! One wait for a target; it keeps its place among others while it exists.
class target_wait {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! \p State outlives the wait.
  target_wait(send_state &State, send_wish Wish, time_point Now);

  //! The target to send to now, or nothing to ask again PollInterval later.
  //! What the target may bear is counted when it is named. \p InTouch tells
  //! whether this host has the right to route.
  //! \throws pomelo_error that says that nothing ran, and when to come back.
  std::optional<slot_owner> decide(const routing_view &View, bool InTouch,
                                   time_point Now);

  //! The slot of the key, once it was looked up.
  [[nodiscard]] std::optional<std::uint32_t> slot() const { return Slot; }

  static constexpr std::chrono::milliseconds PollInterval{10};

private:
  std::optional<slot_owner> decideByKey(const routing_view &View, bool InTouch,
                                        time_point Now);
  std::optional<slot_owner> decideByLoad(const routing_view &View, bool InTouch,
                                         time_point Now);
  [[nodiscard]] routing_target_ptr choose(const routing_view &View,
                                          bool InTouch, time_point Now);
  [[nodiscard]] bool ready(const routing_target &Target, time_point Now) const;
  bool admitCold(const routing_view &View, const routing_service &Service,
                 const routing_target &Target, bool Take, time_point Now);
  void queueFor(const std::string &Wanted);
  void refuseIfHopeless(const routing_target &Target, time_point Now) const;
  [[noreturn]] static void refuseKey(bool InTouch, bool Owned);

  send_state &State;
  send_wish Wish;
  time_point GiveUp;
  std::optional<std::uint32_t> Slot;
  std::string Queue;
  std::optional<wait_ranks::place> Place;
};

//! Why requests that need the control group's word are refused without it.
constexpr const char *LostTouch =
    "this entry host has lost touch with the control group";

} // namespace pomelo

#endif
