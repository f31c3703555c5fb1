#include "pomeloswitch/routing/routing_view.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/routing/target_ring.hpp"
#include "pomeloswitch/state/rollout_targets.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <algorithm>
#include <optional>

namespace pomelo {
namespace {

//! Returns where to call \p Member, or std::nullopt if its address cannot be
//! used: another version or writer may have brought it into the state.
std::optional<boost::asio::ip::tcp::endpoint>
usableAddress(const target_member &Member) {
  try {
    return parseEndpoint(canonicalTargetAddress(Member.Address));
  } catch (const pomelo_error &Failure) {
    component_logger("routing").warn("Target {} is left out: {}.",
                                     Member.TargetId, Failure.what());
    return std::nullopt;
  }
}

//! Returns null if the target cannot be called.
routing_target_ptr makeTarget(const cluster_state &State,
                              const target_member &Member, bool HeldBack,
                              std::size_t Threads) {
  const auto Address = usableAddress(Member);
  if (!Address)
    return nullptr;
  auto Target = std::make_shared<routing_target>();
  Target->Member = Member;
  Target->Address = *Address;
  Target->AcceptsNewWork = !Member.Leaving &&
                           !State.drainedByOperators(Member) &&
                           State.allowedByRollout(Member) && !HeldBack;
  const auto Hosts = std::max<std::size_t>(1, State.entryHosts().size());
  const auto TotalThreads = Hosts * std::max<std::size_t>(1, Threads);
  const service *Service = State.sharedInventory()->findService(Member.Service);
  const std::uint32_t Connections = Member.Connections == 0 && Service
                                        ? Service->Connections
                                        : Member.Connections;
  Target->ConnectionShare = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(Connections / TotalThreads));
  return Target;
}

void addSplits(const cluster_state &State, routing_view &View) {
  for (const auto &[Name, Rollout] : State.rollouts()) {
    const auto Service = View.Services.find(Name);
    if (Service != View.Services.end() && !Rollout.ended())
      Service->second.Split = {Rollout.StartedIndex, Rollout.Version,
                               Rollout.SharePermille / double{WholeShare}};
  }
}

} // namespace

const routing_service *routing_view::findService(std::string_view Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

routing_service restrictToDomain(const routing_service &Service,
                                 std::string_view FailureDomain) {
  routing_service Result = Service;
  for (auto *Targets : {&Result.Targets, &Result.Ring})
    std::erase_if(*Targets, [FailureDomain](const auto &Target) {
      return Target->Member.FailureDomain != FailureDomain;
    });
  return Result;
}

std::shared_ptr<const routing_view> makeRoutingView(const cluster_state &State,
                                                    std::size_t Threads,
                                                    std::string_view HostId) {
  auto View = std::make_shared<routing_view>();
  View->Index = State.index();
  View->ConfigVersion = State.configVersion();
  View->ConfigNumber = State.configurationNumber();
  View->Inventory = State.sharedInventory();
  View->Rules = State.sharedRules();
  View->Keys = State.sharedKeys();
  View->Crashes = State.sharedCrashes();
  View->TimeMs = State.timeMs();
  View->EntryHosts = std::max<std::size_t>(1, State.entryHosts().size());
  View->RingPosition = ringPosition(State.entryHosts(), HostId);
  for (const service &Service : View->Inventory->Services)
    View->Services[Service.Name] = {
        Service.Name, State.sharedSlots(Service.Name), {}, Service.KeySpace,
        Service.Key,  Service.ColdRatePerSecond};
  addSplits(State, *View);
  const name_set HeldBack = heldBackTargets(State);
  for (const auto &[Id, Member] : State.targets()) {
    auto Target = makeTarget(State, Member, HeldBack.contains(Id), Threads);
    if (!Target)
      continue;
    const auto Service = View->Services.find(Member.Service);
    if (Service != View->Services.end())
      Service->second.Targets.push_back(Target);
    View->Targets.emplace(Id, std::move(Target));
  }
  for (auto &[Name, Service] : View->Services)
    if (!Service.Slots)
      Service.Ring = makeTargetRing(Service.Targets);
  return View;
}

} // namespace pomelo
