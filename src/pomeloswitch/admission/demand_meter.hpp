//! Estimates the arrival rate of requests.
#ifndef POMELOSWITCH_ADMISSION_DEMAND_METER_HPP
#define POMELOSWITCH_ADMISSION_DEMAND_METER_HPP

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pomelo {

//! An exponentially decaying average with a time constant of 200 ms.
class demand_meter {
public:
  using time_point = std::chrono::steady_clock::time_point;

  void recordArrival(time_point Now) {
    decay(Now);
    PerSecond += 1.0 / TimeConstantSeconds;
  }

  //! Requests per second.
  [[nodiscard]] double rate(time_point Now) {
    decay(Now);
    return PerSecond;
  }

private:
  static constexpr double TimeConstantSeconds = 0.2;

  void decay(time_point Now) {
    const std::chrono::duration<double> Elapsed = Now - UpdatedAt;
    if (Elapsed.count() > 0)
      PerSecond *= std::exp(-Elapsed.count() / TimeConstantSeconds);
    UpdatedAt = std::max(UpdatedAt, Now);
  }

  double PerSecond = 0;
  time_point UpdatedAt{};
};

} // namespace pomelo

#endif
