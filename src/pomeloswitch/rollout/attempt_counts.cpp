#include "pomeloswitch/rollout/attempt_counts.hpp"

#include <algorithm>
#include <numeric>

namespace pomelo {

void latency_counts::record(std::chrono::nanoseconds Latency) {
  std::size_t Bucket = 0;
  std::chrono::duration<double> Bound = FirstBound;
  while (Bucket + 1 < Buckets && Latency > Bound) {
    Bound *= BoundFactor;
    ++Bucket;
  }
  ++Counts[Bucket];
}

void latency_counts::add(std::size_t Bucket, std::uint32_t Count) {
  if (Bucket < Buckets)
    Counts[Bucket] += Count;
}

std::uint64_t latency_counts::total() const {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

std::uint64_t latency_counts::countAbove(std::size_t Bucket) const {
  const std::size_t First = std::min(Bucket + 1, Buckets);
  return std::accumulate(Counts.begin() + static_cast<std::ptrdiff_t>(First),
                         Counts.end(), std::uint64_t{0});
}

std::size_t latency_counts::medianBucket() const {
  const std::uint64_t Half = total() / 2;
  std::uint64_t Passed = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    Passed += Counts[Bucket];
    if (Passed > Half)
      return Bucket;
  }
  return 0;
}

latency_counts &latency_counts::operator+=(const latency_counts &Other) {
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Counts[Bucket] += Other.Counts[Bucket];
  return *this;
}

latency_counts &latency_counts::operator-=(const latency_counts &Earlier) {
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Counts[Bucket] -= std::min(Counts[Bucket], Earlier.Counts[Bucket]);
  return *this;
}

attempt_counts &attempt_counts::operator+=(const attempt_counts &Other) {
  Failures += Other.Failures;
  Answers += Other.Answers;
  return *this;
}

attempt_counts &attempt_counts::operator-=(const attempt_counts &Earlier) {
  Failures -= std::min(Failures, Earlier.Failures);
  Answers -= Earlier.Answers;
  return *this;
}

} // namespace pomelo
