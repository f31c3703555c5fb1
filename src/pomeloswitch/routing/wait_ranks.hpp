//! Who of the requests that wait for the same service comes first.
#ifndef POMELOSWITCH_ROUTING_WAIT_RANKS_HPP
#define POMELOSWITCH_ROUTING_WAIT_RANKS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace pomelo {

//! Waiting requests of one traffic thread by what they wait for: a service, or
//! one target where no other will do. The most urgent comes first, then the one
//! whose time ends first.
class wait_ranks {
public:
  using time_point = std::chrono::steady_clock::time_point;
  using rank = std::pair<std::uint32_t, time_point>;

  //! A place among those that wait; it is given up on destruction.
  class place {
  public:
    place(wait_ranks &Ranks, std::string Queue, std::uint32_t Priority,
          time_point Deadline);
    ~place();
    place(const place &) = delete;
    place &operator=(const place &) = delete;

    //! How many of those in the queue come before this one.
    [[nodiscard]] std::size_t ahead() const;

  private:
    std::multiset<rank> *Queue;
    std::multiset<rank>::iterator Own;
  };

  //! Forgets queues that nobody waits in.
  void tidy();

private:
  std::map<std::string, std::multiset<rank>> Queues;
};

} // namespace pomelo

#endif
