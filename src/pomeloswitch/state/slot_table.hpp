//! The owner of each slot of a service that is divided by key.
#ifndef POMELOSWITCH_STATE_SLOT_TABLE_HPP
#define POMELOSWITCH_STATE_SLOT_TABLE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace pomelo {

//! The state of a slot's ownership. An owned slot goes to another owner only
//! after it was Revoking.
enum class slot_phase : std::uint8_t {
  Unowned,  //!< No target may serve the slot.
  Granted,  //!< Granted to a target that has not acknowledged it yet.
  Active,   //!< The owner serves the slot.
  Revoking, //!< The owner gets no new requests; requests in flight end.
};

//! The ownership of one slot.
struct slot_ownership {
  std::string Owner;       //!< Target id; empty when unowned.
  std::uint64_t Token = 0; //!< Fencing token of the last grant.
  slot_phase Phase = slot_phase::Unowned;
  //! Log index of the last grant, revocation or release.
  std::uint64_t ChangedIndex = 0;
  std::uint64_t OwnerIncarnation = 0;
  bool OwnerChecksFence = false; //!< Whether the owner checks fencing tokens.
};

//! Indexed by slot number.
using slot_table = std::vector<slot_ownership>;

} // namespace pomelo

#endif
