//! The keyed requests that one traffic thread has in flight.
#ifndef POMELOSWITCH_HTTP_FLIGHT_TABLE_HPP
#define POMELOSWITCH_HTTP_FLIGHT_TABLE_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace pomelo {

//! Counts requests by slot and the token that they were sent under, and tells
//! up to which log index revoked slots have none left.
class flight_table {
public:
  //! One request in flight; ends when destroyed.
  class flight {
  public:
    flight() = default;
    flight(flight_table &Table, const std::string &Service, std::uint32_t Slot,
           std::uint64_t Token);
    ~flight();
    flight(flight &&Other) noexcept;
    flight &operator=(flight &&Other) noexcept;

  private:
    using key = std::tuple<std::string, std::uint32_t, std::uint64_t>;
    friend class flight_table;

    flight_table *Table = nullptr;
    key Key;
  };

  //! The index up to which every revocation in \p View has taken effect here.
  [[nodiscard]] std::uint64_t quiescedIndex(const routing_view &View) const;

  [[nodiscard]] bool empty() const { return Counts.empty(); }

private:
  std::map<flight::key, std::uint32_t> Counts;
};

} // namespace pomelo

#endif
