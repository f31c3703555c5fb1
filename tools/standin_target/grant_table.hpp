//! Slot grants of a stand-in target.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_GRANT_TABLE_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_GRANT_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <map>

namespace pomelo::standin {

using steady_time = std::chrono::steady_clock::time_point;

//! Granted slots with their fencing tokens, and requests running per slot.
class grant_table {
public:
  //! Replaces the grants by those of an answer at state index \p Index.
  //! Ignores an answer older than the last one applied; it does not renew the
  //! lease either.
  void take(std::uint64_t Index, std::map<std::uint32_t, std::uint64_t> Grants,
            steady_time LeaseUntil);

  //! Whether a request with this slot and fencing token may start at \p Now.
  [[nodiscard]] bool allows(std::uint32_t Slot, std::uint64_t Token,
                            steady_time Now) const;

  void begin(std::uint32_t Slot) { ++Running[Slot]; }
  void end(std::uint32_t Slot);

  [[nodiscard]] std::uint64_t takenIndex() const { return TakenIndex; }

  //! Returns the latest index at which no request was running on a slot that
  //! is not granted.
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
