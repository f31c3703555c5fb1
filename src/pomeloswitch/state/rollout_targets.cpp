#include "pomeloswitch/state/rollout_targets.hpp"

#include "pomeloswitch/state/key_slot.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace pomelo {
namespace {

//! Fewer targets would make the evidence depend on single ones.
constexpr std::size_t MinTargetsInUse = 5;

void addHeldBack(const cluster_state &State, const std::string &Service,
                 const rollout &Rollout, name_set &HeldBack) {
  std::vector<std::pair<std::uint64_t, std::string>> Targets;
  for (const auto &[Id, Member] : State.targets())
    if (Member.Service == Service && Member.Version == Rollout.Version &&
        !Member.Leaving && !State.drainedByOperators(Member))
      Targets.emplace_back(stableHash(Id), Id);
  std::sort(Targets.begin(), Targets.end());
  const double Share = Rollout.SharePermille / double{WholeShare};
  const auto ByShare = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Targets.size())));
  const std::size_t InUse =
      Rollout.SharePermille == 0 ? 0 : std::max(MinTargetsInUse, ByShare);
  for (std::size_t Number = InUse; Number < Targets.size(); ++Number)
    HeldBack.insert(Targets[Number].second);
}

} // namespace

name_set heldBackTargets(const cluster_state &State) {
  name_set HeldBack;
  for (const auto &[Service, Rollout] : State.rollouts())
    if (Rollout.Stage == rollout_stage::Running)
      addHeldBack(State, Service, Rollout, HeldBack);
  return HeldBack;
}

} // namespace pomelo
