#include "pomeloswitch/routing/target_ring.hpp"

#include "pomeloswitch/state/key_slot.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pomelo {
namespace {

//! A target with its place on a ring.
struct ring_entry {
  double Position = 0; //!< In [0, 1).
  std::uint64_t Hash = 0;
  routing_target_ptr Target;
};

bool before(const ring_entry &Left, const ring_entry &Right) {
  return std::tie(Left.Position, Left.Hash) <
         std::tie(Right.Position, Right.Hash);
}

//! Spreads the targets of one failure domain evenly over the ring.
void placeEvenly(std::vector<ring_entry> &Domain) {
  std::sort(Domain.begin(), Domain.end(),
            [](const ring_entry &Left, const ring_entry &Right) {
              return Left.Hash < Right.Hash;
            });
  for (std::size_t Number = 0; Number < Domain.size(); ++Number)
    Domain[Number].Position = (static_cast<double>(Number) + 0.5) /
                              static_cast<double>(Domain.size());
}

} // namespace

std::vector<routing_target_ptr>
makeTargetRing(std::span<const routing_target_ptr> Targets) {
  std::map<std::string_view, std::vector<ring_entry>> Domains;
  for (const routing_target_ptr &Target : Targets)
    Domains[Target->Member.FailureDomain].push_back(
        {0, stableHash(Target->Member.TargetId), Target});
  std::vector<ring_entry> Entries;
  for (auto &[Name, Domain] : Domains) {
    placeEvenly(Domain);
    Entries.insert(Entries.end(), Domain.begin(), Domain.end());
  }
  std::sort(Entries.begin(), Entries.end(), before);
  std::vector<routing_target_ptr> Ring;
  Ring.reserve(Entries.size());
  for (ring_entry &Entry : Entries)
    Ring.push_back(std::move(Entry.Target));
  return Ring;
}

double ringPosition(const entry_map &Hosts, std::string_view HostId) {
  if (!Hosts.contains(HostId))
    return 0;
  const std::uint64_t Own = stableHash(HostId);
  const auto Before =
      std::count_if(Hosts.begin(), Hosts.end(), [Own](const auto &Entry) {
        return stableHash(Entry.first) < Own;
      });
  return static_cast<double>(Before) / static_cast<double>(Hosts.size());
}

} // namespace pomelo
