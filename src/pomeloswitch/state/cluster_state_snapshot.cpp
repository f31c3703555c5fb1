//! The replicated state as a snapshot, and back.
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <utility>

namespace pomelo {

wire::state_snapshot cluster_state::toSnapshot() const {
  wire::state_snapshot Snapshot;
  Snapshot.set_index(Index);
  Snapshot.set_config_version(ConfigVersion);
  Snapshot.set_time_ms(TimeMs);
  Snapshot.set_next_token(NextToken);
  Snapshot.set_inventory_json(InventoryJson);
  Snapshot.set_rules_json(RulesJson);
  Snapshot.set_configuration_number(ConfigurationNumber);
  Snapshot.set_configuration_source(ConfigurationSource);
  for (const auto &[Id, Key] : *Keys) {
    auto *Record = Snapshot.add_keys();
    Record->set_key_id(Id);
    Record->set_account(Key.Account);
    Record->set_key_hash(Key.KeyHash);
    Record->set_withdrawn(Key.Withdrawn);
  }
  for (const auto &Name : DrainedDomains)
    Snapshot.add_domains_out(Name);
  for (const auto &Name : DrainedTargets)
    Snapshot.add_targets_out(Name);
  Snapshot.set_longest_isolation_ms(LongestIsolationMs);
  for (const auto &[Service, Longest] : LongestDeadlines) {
    auto *Record = Snapshot.add_deadlines();
    Record->set_service(Service);
    Record->set_longest_ms(Longest);
  }
  for (const auto &[Id, Host] : EntryHosts) {
    auto *Record = Snapshot.add_hosts();
    Record->set_replaced(Host.Replaced);
    auto *Joined = Record->mutable_host();
    Joined->set_host_id(Id);
    Joined->set_incarnation(Host.Incarnation);
    Joined->set_failure_domain(Host.FailureDomain);
  }
  for (const auto &[Id, Target] : *Targets) {
    auto *Record = Snapshot.add_targets();
    *Record->mutable_target() = toMessage(Target);
    Record->set_leaving(Target.Leaving);
    Record->set_joined_ms(Target.JoinedMs);
  }
  for (const auto &[Service, Table] : Slots) {
    auto *Record = Snapshot.add_slots();
    Record->set_service(Service);
    for (const slot_ownership &Slot : *Table) {
      auto *Out = Record->add_slots();
      Out->set_owner(Slot.Owner);
      Out->set_token(Slot.Token);
      Out->set_phase(static_cast<std::uint32_t>(Slot.Phase));
      Out->set_changed_index(Slot.ChangedIndex);
      Out->set_owner_incarnation(Slot.OwnerIncarnation);
      Out->set_owner_checks(Slot.OwnerChecksFence);
    }
  }
  for (const auto &Id : OperationOrder) {
    const apply_result &Result = Operations.at(Id);
    auto *Record = Snapshot.add_operations();
    Record->set_operation_id(Id);
    Record->set_accepted(Result.accepted());
    Record->set_error_kind(static_cast<std::uint32_t>(
        Result.Refusal.value_or(error_kind::Internal)));
    Record->set_version(Result.Version);
    Record->set_message(Result.Message);
  }
  Claims.writeTo(Snapshot);
  Crashes->writeTo(Snapshot);
  Rollouts.writeTo(Snapshot);
  return Snapshot;
}

cluster_state
cluster_state::fromSnapshot(const wire::state_snapshot &Snapshot) {
  cluster_state State;
  State.Index = Snapshot.index();
  State.ConfigVersion = Snapshot.config_version();
  State.TimeMs = Snapshot.time_ms();
  State.NextToken = Snapshot.next_token();
  State.InventoryJson = Snapshot.inventory_json();
  State.RulesJson = Snapshot.rules_json();
  State.ConfigurationNumber = Snapshot.configuration_number();
  State.ConfigurationSource = Snapshot.configuration_source();
  try {
    if (!State.InventoryJson.empty())
      State.Inventory =
          std::make_shared<inventory>(parseInventory(State.InventoryJson));
    if (!State.RulesJson.empty())
      State.Rules = std::make_shared<rules>(parseRules(State.RulesJson));
  } catch (const pomelo_error &Failure) {
    throw pomelo_error(error_kind::StorageFailed,
                       fmt::format("snapshot: {}", Failure.what()));
  }
  auto Keys = std::make_shared<key_map>();
  for (const auto &Record : Snapshot.keys())
    Keys->emplace(
        Record.key_id(),
        account_key{Record.account(), Record.key_hash(), Record.withdrawn()});
  State.Keys = std::move(Keys);
  for (const auto &Name : Snapshot.domains_out())
    State.DrainedDomains.insert(Name);
  for (const auto &Name : Snapshot.targets_out())
    State.DrainedTargets.insert(Name);
  for (const auto &Record : Snapshot.hosts())
    State.EntryHosts[Record.host().host_id()] = {
        Record.host().host_id(), Record.host().incarnation(),
        Record.host().failure_domain(), Record.replaced()};
  State.LongestIsolationMs = Snapshot.longest_isolation_ms();
  for (const auto &Record : Snapshot.deadlines())
    State.LongestDeadlines[Record.service()] = Record.longest_ms();
  auto Targets = std::make_shared<target_map>();
  for (const auto &Record : Snapshot.targets()) {
    target_member Member = toMember(Record.target());
    Member.Leaving = Record.leaving();
    Member.JoinedMs = Record.joined_ms();
    Targets->emplace(Member.TargetId, std::move(Member));
  }
  State.Targets = std::move(Targets);
  for (const auto &Record : Snapshot.slots()) {
    auto Table = std::make_shared<slot_table>();
    for (const auto &Slot : Record.slots())
      Table->push_back({Slot.owner(), Slot.token(),
                        static_cast<slot_phase>(Slot.phase()),
                        Slot.changed_index(), Slot.owner_incarnation(),
                        Slot.owner_checks()});
    State.Slots[Record.service()] = std::move(Table);
  }
  for (const auto &Record : Snapshot.operations()) {
    apply_result Result;
    if (!Record.accepted())
      Result.Refusal = static_cast<error_kind>(Record.error_kind());
    Result.Version = Record.version();
    Result.Message = Record.message();
    State.rememberOperation(Record.operation_id(), Result);
  }
  State.Claims = claim_table::readFrom(Snapshot);
  State.Rollouts = rollout_table::readFrom(Snapshot);
  State.Crashes =
      std::make_shared<crash_table>(crash_table::readFrom(Snapshot));
  return State;
}

} // namespace pomelo
