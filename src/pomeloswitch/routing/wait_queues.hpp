//! Priority queues of the requests that wait for a target.
#ifndef POMELOSWITCH_ROUTING_WAIT_QUEUES_HPP
#define POMELOSWITCH_ROUTING_WAIT_QUEUES_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace pomelo {

//! Holds the waiting requests of one traffic thread, in one queue per service,
//! or per target if no other target can serve the request. Requests are ordered
//! by priority, then by deadline.
class wait_queues {
public:
  using time_point = std::chrono::steady_clock::time_point;
  using rank = std::pair<std::uint32_t, time_point>;

  //! A request's entry in a queue, removed on destruction.
  class position {
  public:
    position(wait_queues &WaitQueues, std::string Queue, std::uint32_t Priority,
             time_point Deadline);
    ~position();
    position(const position &) = delete;
    position &operator=(const position &) = delete;

    //! Number of requests in the queue before this one.
    [[nodiscard]] std::size_t requestsAhead() const;

  private:
    std::multiset<rank> *Queue;
    std::multiset<rank>::iterator Entry;
  };

  //! Removes empty queues.
  void removeEmptyQueues();

private:
  std::map<std::string, std::multiset<rank>> Queues;
};

} // namespace pomelo

#endif
