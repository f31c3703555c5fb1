//! The grants that a stand-in target holds.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_GRANT_BOOK_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_GRANT_BOOK_HPP

#include <chrono>
#include <cstdint>
#include <map>

namespace pomelo::standin {

using steady_time = std::chrono::steady_clock::time_point;

class grant_book {
public:
  //! Takes over the grants of the answer at state index \p Index. An answer
  //! older than one already taken only renews nothing and is ignored.
  void take(std::uint64_t Index, std::map<std::uint32_t, std::uint64_t> Grants,
            steady_time LeaseUntil);

  //! Whether a request under this slot and token may start now.
  [[nodiscard]] bool allows(std::uint32_t Slot, std::uint64_t Token,
                            steady_time Now) const;

  void begin(std::uint32_t Slot) { ++Running[Slot]; }
  void end(std::uint32_t Slot);

  [[nodiscard]] std::uint64_t takenIndex() const { return TakenIndex; }

  //! The index up to which no work is left on slots that are not held.
  [[nodiscard]] std::uint64_t settledIndex();

  [[nodiscard]] bool holdsAny() const { return !Grants.empty(); }

private:
  std::map<std::uint32_t, std::uint64_t> Grants; //!< Slot to token.
  std::map<std::uint32_t, std::uint32_t> Running;
  std::uint64_t TakenIndex = 0;
  std::uint64_t SettledIndex = 0;
  steady_time LeaseUntil{};
};

} // namespace pomelo::standin

#endif
