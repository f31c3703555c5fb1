//! The slots of one service divided by key and who owns each.
#ifndef POMELOSWITCH_STATE_SLOT_TABLE_HPP
#define POMELOSWITCH_STATE_SLOT_TABLE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace pomelo {

//! The life of a slot's ownership. A slot passes from one owner to the next
//! only by way of Revoking and Unowned.
enum class slot_phase : std::uint8_t {
  Unowned,  //!< Nobody may serve it.
  Granted,  //!< Given to a target that has yet to acknowledge the grant.
  Active,   //!< Its owner serves it.
  Revoking, //!< Its owner gets no new work; what is in flight ends.
};

struct owned_slot {
  std::string Owner;       //!< Target id; empty when unowned.
  std::uint64_t Token = 0; //!< Fencing token of the last grant.
  slot_phase Phase = slot_phase::Unowned;
  std::uint64_t ChangedIndex = 0; //!< Log index of the last change of phase.
  std::uint64_t OwnerIncarnation = 0;
  bool OwnerChecks = false; //!< Whether the owner checks the fence.
};

using slot_table = std::vector<owned_slot>;

} // namespace pomelo

#endif
