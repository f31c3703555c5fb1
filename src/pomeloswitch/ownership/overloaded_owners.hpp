//! Finds the targets whose keys get more requests than they can serve.
#ifndef POMELOSWITCH_OWNERSHIP_OVERLOADED_OWNERS_HPP
#define POMELOSWITCH_OWNERSHIP_OVERLOADED_OWNERS_HPP

#include "pomeloswitch/ownership/load_table.hpp"

#include <string>
#include <vector>

namespace pomelo {

//! Part of the requests for its keys that a target can serve.
struct owner_share {
  std::string TargetId;
  double Share = 1; //!< From 0 to 1.
};

//! Returns the owners that get far more requests than their slots and their
//! measured speed allow, the most overloaded first, at most
//! MaxOverloadedOwners. Targets whose speed is not known count as average;
//! without any known speed the result is empty. Owners that the entry hosts'
//! own windows can bound are left to them: these know the target's state
//! sooner.
[[nodiscard]] std::vector<owner_share>
findOverloadedOwners(const cluster_state &State, const load_table &Loads,
                     mono_time Now);

inline constexpr std::size_t MaxOverloadedOwners = 64;

} // namespace pomelo

#endif
