//! A stand-in endpoint that does what PROTOCOL says of a sound one.
#ifndef POMELOSWITCH_REVIEW_HARNESS_ENDPOINT_HPP
#define POMELOSWITCH_REVIEW_HARNESS_ENDPOINT_HPP

#include "deployment.hpp"
#include "http.hpp"

#include <boost/json/object.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace pomelo::review {

struct endpoint_plan {
  std::string Id{};
  std::string Service{};
  std::string Zone{};
  std::string Ip{};
  int Port = 0; //!< 0: a free one.
  bool Sharded = false;
  unsigned Slots = 4;
  std::chrono::milliseconds Work{100};
  //! A request with this body crashes the endpoint; none if it is empty.
  std::string CrashingBody{};
  //! The share of long requests that it rejects before they are in.
  double RejectsEarly = 0;
  //! From the start to the first liveness report.
  std::chrono::milliseconds FirstReport{0};
};

//! A span of keys that the endpoint held, and when.
struct held_span {
  std::uint32_t From = 0;
  std::uint32_t To = 0; //!< Inclusive.
  std::int64_t Fence = 0;
  clock::time_point Since;
  clock::time_point Until;
};

//! One request at which the endpoint began to work.
struct run_entry {
  std::string RequestId;
  clock::time_point BeganAt;
  clock::time_point EndedAt; //!< Default while it runs.
  bool Dropped = false;      //!< Its connection closed while it ran.
  std::string Body;
};

class endpoint {
public:
  endpoint(endpoint_plan Plan, deployment &Deployment);
  ~endpoint();
  endpoint(const endpoint &) = delete;
  endpoint &operator=(const endpoint &) = delete;

  //! Ends as a killed process does: all its connections close at once.
  void crash();

  //! Whether it began a request that crashes it; crash() is to be called then.
  [[nodiscard]] bool crashing() const { return Crashing; }

  //! Reports at once that it drains, until that is confirmed, and goes on to
  //! do so. Returns when it was confirmed.
  clock::time_point drain();

  [[nodiscard]] const endpoint_plan &plan() const { return Plan; }
  [[nodiscard]] std::string address() const;
  [[nodiscard]] int port() const { return Port; }
  [[nodiscard]] std::int64_t born() const { return Born; }
  //! All that it held so far, in the order in which it was granted.
  [[nodiscard]] std::vector<held_span> holdings() const;
  [[nodiscard]] std::vector<run_entry> runs() const;

private:
  struct visitor {
    explicit visitor(int Socket) : Stream(Socket) {}
    stream Stream;
    std::thread Thread;
  };

  void accept();
  void serve(visitor &Visitor);
  void report();
  bool reportOnce(std::string &Address);
  [[nodiscard]] bool rejectsEarly(const message &Head);
  std::string answer(const message &Request, const stream &From);
  std::string grant(const message &Request);
  std::string release(const message &Request);
  std::string run(const message &Request, const stream &From);
  [[nodiscard]] bool holds(std::uint32_t Key, clock::time_point Now) const;
  [[nodiscard]] std::string loadText() const;

  const endpoint_plan Plan;
  deployment &Deployment;
  const std::int64_t Born;
  int Listener;
  int Port;
  std::atomic<bool> Ended{false};
  std::atomic<bool> Crashing{false};
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<held_span> Held;
  std::vector<run_entry> Runs;
  std::multiset<std::uint32_t> KeysAtWork;
  std::int64_t HighestFence = 0;
  unsigned Running = 0;
  double RejectionsDue = 0;
  std::mutex ReportMutex;
  std::uint64_t Sequence = 0;
  std::atomic<bool> Draining{false};
  std::mutex VisitorsMutex;
  std::list<visitor> Visitors;
  std::thread Acceptor;
  std::thread Reporter;
};

} // namespace pomelo::review

#endif
