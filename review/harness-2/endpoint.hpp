//! A stand-in endpoint that follows the pages: reports to the control
//! machines, holds the keys that it was granted, and runs requests.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_ENDPOINT_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_ENDPOINT_HPP

#include "deployment.hpp"
#include "http.hpp"
#include "record.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct endpoint_options {
  std::string Id;
  std::string Service;
  std::string Zone;
  address At;
  unsigned Slots = 2;
  double WorkSeconds = 0.05;
  bool Sharded = false;
  double FirstReportAfter = 0; //!< From the start to the first report.
};

//! A request that an endpoint has begun to run.
struct run_event {
  seconds At = 0;
  std::string RequestId;
  std::string Path;
  std::string EndpointId;
  std::string Zone;
};

//! What all endpoints of a case have run, in order.
class run_list {
public:
  void add(run_event Event);
  [[nodiscard]] std::vector<run_event> all() const;

private:
  mutable std::mutex Mutex;
  std::vector<run_event> Events;
};

//! A grant that an endpoint has taken.
struct grant_event {
  seconds At = 0;
  std::uint64_t Born = 0;
  unsigned From = 0;
  unsigned To = 0;
  std::uint64_t Fence = 0;
};

//! What an endpoint does with a request instead of running it to a good end.
enum class run_fate { Answer, Crash };

class endpoint {
public:
  endpoint(record &Record, const deployment &Deployment, run_list &Runs,
           endpoint_options Options);
  ~endpoint();
  endpoint(const endpoint &) = delete;
  endpoint &operator=(const endpoint &) = delete;

  bool start();
  //! Ends at once, as by SIGKILL: all connections close, nothing is said.
  void crash();
  //! Starts a new lifetime at the same address.
  bool restartAs(const std::string &Id);
  void delayFirstReport(double Seconds) { Options.FirstReportAfter = Seconds; }

  //! Decides on each request that it begins to run. A crash is left to the
  //! case, which calls crash().
  std::function<run_fate(const http_message &)> Fate;

  [[nodiscard]] const endpoint_options &options() const { return Options; }
  [[nodiscard]] std::vector<grant_event> grants() const;
  //! Whether the endpoint is up and holds the key now.
  [[nodiscard]] bool holds(unsigned Key) const;
  [[nodiscard]] bool running() const { return Running; }

private:
  struct held_key {
    std::uint64_t Fence = 0;
    seconds Until = 0;
  };

  std::optional<http_message> handle(const http_message &Request);
  http_message grant(const http_message &Request);
  http_message release(const http_message &Request);
  std::optional<http_message> run(const http_message &Request);
  void report();

  record &Record;
  const deployment &Deployment;
  run_list &Runs;
  endpoint_options Options;
  std::unique_ptr<http_server> Server;
  std::thread Reporter;
  std::atomic<bool> Running{false};
  std::uint64_t Born = 0;
  mutable std::mutex Mutex;
  std::condition_variable SlotFree;
  unsigned Busy = 0;
  unsigned Waiting = 0;
  std::vector<held_key> Keys;
  std::vector<grant_event> Grants;
};

} // namespace review

#endif
