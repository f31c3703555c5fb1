#include "pomeloswitch/routing/cold_target_limiter.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Buckets unused for longer than this are removed and start empty again.
constexpr auto IdleTimeout = std::chrono::seconds(5);

} // namespace

bool cold_target_limiter::admit(std::string_view TargetId, double RatePerSecond,
                                bool Consume, time_point Now) {
  std::erase_if(Buckets, [Now](const auto &Entry) {
    return Now - Entry.second.RefilledAt > IdleTimeout;
  });
  const auto Found =
      Buckets.try_emplace(std::string(TargetId), token_bucket{0, Now});
  token_bucket &Bucket = Found.first->second;
  const std::chrono::duration<double> Elapsed = Now - Bucket.RefilledAt;
  Bucket.Tokens =
      std::min(1.0, Bucket.Tokens + Elapsed.count() * RatePerSecond);
  Bucket.RefilledAt = Now;
  if (Bucket.Tokens < 1)
    return false;
  if (Consume)
    Bucket.Tokens -= 1;
  return true;
}

} // namespace pomelo
