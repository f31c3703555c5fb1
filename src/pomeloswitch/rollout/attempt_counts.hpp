//! Outcomes of the requests that were sent to a target, in a form that can be
//! added up over hosts and subtracted to get those of a period.
#ifndef POMELOSWITCH_ROLLOUT_ATTEMPT_COUNTS_HPP
#define POMELOSWITCH_ROLLOUT_ATTEMPT_COUNTS_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pomelo {

//! Counts latencies in buckets whose bounds grow by BoundFactor.
class latency_counts {
public:
  static constexpr std::size_t Buckets = 24;
  static constexpr std::chrono::milliseconds FirstBound{4};
  static constexpr double BoundFactor = 1.5;

  void record(std::chrono::nanoseconds Latency);
  //! Adds \p Count latencies of one bucket. Ignores buckets that do not exist.
  void add(std::size_t Bucket, std::uint32_t Count);

  [[nodiscard]] std::uint64_t total() const;
  //! Number of latencies in the buckets after \p Bucket.
  [[nodiscard]] std::uint64_t countAbove(std::size_t Bucket) const;
  //! The bucket of the median; 0 if there are no latencies.
  [[nodiscard]] std::size_t medianBucket() const;
  [[nodiscard]] const std::array<std::uint32_t, Buckets> &counts() const {
    return Counts;
  }

  latency_counts &operator+=(const latency_counts &Other);
  //! A bucket of \p Earlier that is larger counts as equal.
  latency_counts &operator-=(const latency_counts &Earlier);

private:
  std::array<std::uint32_t, Buckets> Counts{};
};

//! How requests to one target ended. Requests that it refused without running
//! them are not counted.
struct attempt_counts {
  std::uint64_t Failures = 0; //!< Errors, invalid and missing responses.
  latency_counts Answers;     //!< Latencies of the others.

  [[nodiscard]] std::uint64_t total() const {
    return Failures + Answers.total();
  }
  attempt_counts &operator+=(const attempt_counts &Other);
  attempt_counts &operator-=(const attempt_counts &Earlier);
};

} // namespace pomelo

#endif
