#include "pomeloswitch/routing/target_subset.hpp"

#include <algorithm>
#include <cmath>

namespace pomelo {
namespace {

//! Calls \p Visit for each target of the ring that may get requests, until it
//! returns false. Its second argument is the number of warm ones so far.
//! Returns how many places of the ring were passed.
template <typename function>
std::size_t visitEligible(const routing_service &Service, double Position,
                          std::span<const std::string> Excluded,
                          const target_predicates &Targets, function Visit) {
  const std::size_t Count = Service.Ring.size();
  const auto First =
      static_cast<std::size_t>(Position * static_cast<double>(Count));
  std::size_t Warm = 0;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const routing_target_ptr &Target = Service.Ring[(First + Step) % Count];
    if (!Target->AcceptsNewWork || isExcluded(*Target, Excluded) ||
        !Targets.Eligible(*Target))
      continue;
    Warm += Targets.Warm(*Target) ? 1 : 0;
    if (!Visit(Target, Warm))
      return Step + 1;
  }
  return Count;
}

} // namespace

std::size_t subsetSize(double RequestsPerSecond, std::size_t Targets,
                       std::size_t Hosts, const subset_limits &Limits) {
  const std::chrono::duration<double> Interval = Limits.SendInterval;
  const auto ByRate =
      static_cast<std::size_t>(std::ceil(RequestsPerSecond * Interval.count()));
  const std::size_t DivisibleBy = std::max<std::size_t>(1, Hosts);
  const std::size_t ByHosts =
      (Limits.MinHostsPerTarget * Targets + DivisibleBy - 1) / DivisibleBy;
  const std::size_t Size = std::max({ByRate, ByHosts, Limits.MinTargets});
  return 2 * Size >= Targets ? Targets : Size;
}

std::vector<routing_target_ptr>
subsetMembers(const routing_service &Service, double Position, std::size_t Size,
              std::span<const std::string> Excluded,
              const target_predicates &Targets) {
  std::vector<routing_target_ptr> Members;
  visitEligible(Service, Position, Excluded, Targets,
                [&](const routing_target_ptr &Target, std::size_t Warm) {
                  Members.push_back(Target);
                  return Warm < Size;
                });
  return Members;
}

double subsetStretch(const routing_service &Service, double Position,
                     std::size_t Size, std::span<const std::string> Excluded,
                     const target_predicates &Targets) {
  if (Service.Ring.empty())
    return 1;
  const std::size_t Places =
      visitEligible(Service, Position, Excluded, Targets,
                    [Size](const routing_target_ptr &, std::size_t Warm) {
                      return Warm < Size;
                    });
  return static_cast<double>(Places) / static_cast<double>(Service.Ring.size());
}

routing_target_ptr
chooseFromSubset(const routing_service &Service, double Position,
                 std::size_t Size, std::span<const std::string> Excluded,
                 const target_predicates &Targets, const load_estimate &Load,
                 random_engine &Random, const subset_limits &Limits) {
  weighted_choice Choice(Random);
  visitEligible(Service, Position, Excluded, Targets,
                [&](const routing_target_ptr &Target, std::size_t Warm) {
                  // Cold targets behind the subset are left to other hosts:
                  // see subsetStretch().
                  if ((Warm < Size || Targets.Warm(*Target)) &&
                      Targets.HasRoom(*Target))
                    Choice.offer(Target, Load(*Target));
                  const bool Found = Choice.best() != nullptr;
                  return Warm < (Found ? Size : Size * Limits.MaxWidening);
                });
  return Choice.best();
}

} // namespace pomelo
