//! The record of a case: what was sent, answered and run, with times.
#ifndef POMELOSWITCH_REVIEW_HARNESS_RECORD_HPP
#define POMELOSWITCH_REVIEW_HARNESS_RECORD_HPP

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace pomelo::review {

using clock = std::chrono::steady_clock;

//! Appends lines to a file; may be used by several threads.
class record {
public:
  explicit record(const std::string &File);

  void write(std::string_view Who, std::string_view What);
  //! Seconds from the start of the record to \p Time.
  [[nodiscard]] double seconds(clock::time_point Time) const;
  [[nodiscard]] double now() const { return seconds(clock::now()); }

private:
  clock::time_point Start = clock::now();
  std::mutex Mutex;
  std::ofstream Out;
};

} // namespace pomelo::review

#endif
