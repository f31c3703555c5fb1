//! This entry host's part of what a cold target bears.
#ifndef POMELOSWITCH_ROUTING_COLD_GATE_HPP
#define POMELOSWITCH_ROUTING_COLD_GATE_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! A target's part fills evenly from the moment at which it was first seen
//! cold, up to one request, so that all hosts together never send a burst.
class cold_gate {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! Whether one more request may go to the cold target \p TargetId now, of
  //! \p RatePerSecond in this host's part; it is counted if \p Take is set.
  bool admit(std::string_view TargetId, double RatePerSecond, bool Take,
             time_point Now);

private:
  struct part {
    double Tokens = 0;
    time_point FilledAt{};
  };
  std::map<std::string, part, std::less<>> Parts;
};

} // namespace pomelo

#endif
