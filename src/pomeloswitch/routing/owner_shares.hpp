//! Which part of the requests for their keys overloaded targets get.
//!
//! Answers the load pattern of few keys that draw more than their owner can do:
//! an entry host of many sees too few of the owner's answers to find its own
//! part, and all of them together fill the owner's queue with requests that it
//! serves too late. The leader sees the requests of all hosts.
#ifndef POMELOSWITCH_ROUTING_OWNER_SHARES_HPP
#define POMELOSWITCH_ROUTING_OWNER_SHARES_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! The leader's latest word. Uses no clock.
class owner_shares {
public:
  using time_point = std::chrono::steady_clock::time_point;
  //! From 0 to 1, by target id.
  using share_map = std::map<std::string, double, std::less<>>;

  //! What has not been repeated for this long is no longer in force.
  static constexpr std::chrono::milliseconds Lifetime{1000};

  void adopt(share_map Latest, time_point Now) {
    Shares = std::move(Latest);
    ValidUntil = Now + Lifetime;
  }

  //! Part of the requests for its keys that the target gets; 1 if it is not
  //! limited.
  [[nodiscard]] double of(std::string_view TargetId, time_point Now) const {
    if (Now >= ValidUntil)
      return 1;
    const auto Found = Shares.find(TargetId);
    return Found == Shares.end() ? 1 : Found->second;
  }

private:
  share_map Shares;
  time_point ValidUntil{};
};

} // namespace pomelo

#endif
