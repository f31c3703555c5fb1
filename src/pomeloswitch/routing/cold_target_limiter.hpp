//! Limits the request rate from this entry host to cold targets.
#ifndef POMELOSWITCH_ROUTING_COLD_TARGET_LIMITER_HPP
#define POMELOSWITCH_ROUTING_COLD_TARGET_LIMITER_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! Keeps one token bucket per cold target. A bucket starts empty when the
//! target is first seen cold and holds at most one request, so that the entry
//! hosts together never send a burst.
class cold_target_limiter {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Whether one more request may be sent to the cold target \p TargetId now.
  //! \p RatePerSecond is the share of this host, requests/s. A token is
  //! consumed only if \p Consume is set.
  bool admit(std::string_view TargetId, double RatePerSecond, bool Consume,
             time_point Now);

private:
  struct token_bucket {
    double Tokens = 0;
    time_point RefilledAt{};
  };
  std::map<std::string, token_bucket, std::less<>> Buckets;
};

} // namespace pomelo

#endif
