//! The keyed requests that one traffic thread has in flight.
#ifndef POMELOSWITCH_HTTP_FLIGHT_TABLE_HPP
#define POMELOSWITCH_HTTP_FLIGHT_TABLE_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace pomelo {

using steady_time = std::chrono::steady_clock::time_point;

//! What must have happened before a request no longer counts as in flight.
struct flight_end {
  bool NeedsAnswer = false; //!< Else its connection's end will do.
  steady_time Deadline{};
};

//! Counts requests by slot and the token that they were sent under, and tells
//! up to which log index revoked slots have none left.
class flight_table {
public:
  //! One request in flight. It ends when destroyed; if its target does not
  //! check the fence, it ends only when it was answered or past its deadline,
  //! since the target may go on running a request whose connection broke.
  class flight {
  public:
    flight() = default;
    flight(flight_table &Table, const std::string &Service, std::uint32_t Slot,
           std::uint64_t Token, flight_end End);
    ~flight();
    flight(flight &&Other) noexcept;
    flight &operator=(flight &&Other) noexcept;

    //! The target has answered, or surely never runs the request.
    void settled() { End.NeedsAnswer = false; }

  private:
    using key = std::tuple<std::string, std::uint32_t, std::uint64_t>;
    friend class flight_table;

    flight_table *Table = nullptr;
    key Key;
    flight_end End;
  };

  //! The index up to which every revocation in \p View has taken effect here.
  [[nodiscard]] std::uint64_t quiescedIndex(const routing_view &View,
                                            steady_time Now);

  [[nodiscard]] bool empty() const { return Counts.empty(); }

private:
  void leave(const flight::key &Key);

  std::map<flight::key, std::uint32_t> Counts;
  std::multimap<steady_time, flight::key> Unanswered; //!< By deadline.
};

} // namespace pomelo

#endif
