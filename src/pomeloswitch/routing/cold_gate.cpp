#include "pomeloswitch/routing/cold_gate.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! A part that was not asked for so long starts empty again.
constexpr auto Forgotten = std::chrono::seconds(5);

} // namespace

bool cold_gate::admit(std::string_view TargetId, double RatePerSecond,
                      bool Take, time_point Now) {
  std::erase_if(Parts, [Now](const auto &Entry) {
    return Now - Entry.second.FilledAt > Forgotten;
  });
  const auto Found = Parts.try_emplace(std::string(TargetId), part{0, Now});
  part &Part = Found.first->second;
  const std::chrono::duration<double> Passed = Now - Part.FilledAt;
  Part.Tokens = std::min(1.0, Part.Tokens + Passed.count() * RatePerSecond);
  Part.FilledAt = Now;
  if (Part.Tokens < 1)
    return false;
  if (Take)
    Part.Tokens -= 1;
  return true;
}

} // namespace pomelo
