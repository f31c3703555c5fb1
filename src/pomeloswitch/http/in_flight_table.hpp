//! In-flight keyed requests of one traffic thread.
#ifndef POMELOSWITCH_HTTP_IN_FLIGHT_TABLE_HPP
#define POMELOSWITCH_HTTP_IN_FLIGHT_TABLE_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace pomelo {

using steady_time = std::chrono::steady_clock::time_point;

//! When a request stops counting as in flight.
struct completion_condition {
  bool NeedsResponse = false; //!< Otherwise the end of its connection suffices.
  steady_time Deadline{};
};

//! Counts in-flight requests by key slot and fencing token, and computes the
//! log index up to which revoked slots have no in-flight requests left.
class in_flight_table {
public:
  //! Counts one request as in flight until its destruction. If its target does
  //! not check fencing tokens and markSettled() was not called, the request
  //! counts until shortly after its deadline, since the target may still be
  //! running a request whose connection was lost.
  class in_flight_request {
  public:
    in_flight_request() = default;
    in_flight_request(in_flight_table &Table, const std::string &Service,
                      std::uint32_t Slot, std::uint64_t Token,
                      completion_condition End);
    ~in_flight_request();
    in_flight_request(in_flight_request &&Other) noexcept;
    in_flight_request &operator=(in_flight_request &&Other) noexcept;

    //! Records that the target has answered or will definitely not run the
    //! request.
    void markSettled() { End.NeedsResponse = false; }

  private:
    using key = std::tuple<std::string, std::uint32_t, std::uint64_t>;
    friend class in_flight_table;

    in_flight_table *Table = nullptr;
    key Key;
    completion_condition End;
  };

  //! Log index up to which every slot revocation in \p View has taken effect on
  //! this thread, i.e. has no in-flight requests left.
  [[nodiscard]] std::uint64_t quiescedIndex(const routing_view &View,
                                            steady_time Now);

  [[nodiscard]] bool empty() const { return Counts.empty(); }

private:
  void remove(const in_flight_request::key &Key);

  std::map<in_flight_request::key, std::uint32_t> Counts;
  std::multimap<steady_time, in_flight_request::key>
      AwaitingDeadline; //!< Ordered by deadline.
};

} // namespace pomelo

#endif
