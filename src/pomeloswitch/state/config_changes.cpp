#include "pomeloswitch/state/config_changes.hpp"

#include "pomeloswitch/state/configuration_packing.hpp"
#include "pomeloswitch/state/slot_refinement.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

using wire::command;

void insertOrErase(name_set &Names, const std::string &Name, bool Member) {
  if (Member)
    Names.insert(Name);
  else
    Names.erase(Name);
}

[[noreturn]] void refuse(error_kind Kind, const std::string &Message) {
  throw pomelo_error(Kind, Message);
}

//! Whether a slot of the service has an owner, or a former owner that may still
//! run requests.
bool hasOwnedSlots(const cluster_state &State, std::string_view Service) {
  const auto Table = State.sharedSlots(Service);
  return Table && std::any_of(Table->begin(), Table->end(),
                              [](const slot_ownership &Slot) {
                                return Slot.Phase != slot_phase::Unowned;
                              });
}

bool hasTargets(const cluster_state &State, std::string_view Service) {
  return std::any_of(
      State.targets().begin(), State.targets().end(),
      [Service](const auto &Entry) { return Entry.second.Service == Service; });
}

//! Removing or resizing a slot table would lose the ownership of slots that
//! targets still serve.
void refuseUnsafeServiceChanges(const cluster_state &State,
                                const inventory &Changed) {
  for (const service &Old : State.sharedInventory()->Services) {
    const service *New = Changed.findService(Old.Name);
    if (New && New->KeySlots == Old.KeySlots)
      continue;
    if (hasTargets(State, Old.Name) || hasOwnedSlots(State, Old.Name))
      refuse(error_kind::InvalidChange,
             fmt::format("inventory: services.{}: cannot be removed or given "
                         "other key_slots while it has targets "
                         "or slots that are not released",
                         Old.Name));
  }
}

//! A service may be removed and added again, but its number of slots must not
//! change while slots are owned.
void refuseResizedServices(const cluster_state &State,
                           const inventory &Changed) {
  for (const service &New : Changed.Services) {
    const auto Table = State.sharedSlots(New.Name);
    if (Table && !isRefinementOf(Table->size(), New.KeySlots) &&
        hasOwnedSlots(State, New.Name))
      refuse(error_kind::InvalidChange,
             fmt::format("inventory: services.{}: cannot be given other "
                         "key_slots while slots are not released",
                         New.Name));
  }
}

std::shared_ptr<const key_map>
readKeys(const wire::replace_configuration &Change,
         const inventory &Inventory) {
  auto Keys = std::make_shared<key_map>();
  for (const auto &Record : Change.keys()) {
    if (!Inventory.findAccount(Record.account()))
      refuse(error_kind::InvalidChange,
             fmt::format("keys: the inventory has no client account \"{}\"",
                         Record.account()));
    const auto [Existing, Inserted] =
        Keys->emplace(Record.key_id(),
                      account_key{Record.account(), Record.key_hash(), false});
    if (!Inserted)
      refuse(error_kind::InvalidChange,
             fmt::format("keys: the accounts \"{}\" and \"{}\" share a key",
                         Existing->second.Account, Record.account()));
  }
  return Keys;
}

} // namespace

bool config_changes::isConfigChange(const command &Command) {
  switch (Command.body_case()) {
  case command::kSetInventory:
  case command::kSetRules:
  case command::kIssueKey:
  case command::kWithdrawKey:
  case command::kSetDrain:
  case command::kReplaceConfiguration:
  case command::kStartRollout:
    return true;
  default:
    return false;
  }
}

void config_changes::apply(const command &Command) {
  switch (Command.body_case()) {
  case command::kSetInventory:
    return setInventory(Command.set_inventory());
  case command::kSetRules:
    return setRules(Command.set_rules());
  case command::kIssueKey:
    return issueKey(Command.issue_key());
  case command::kWithdrawKey:
    return withdrawKey(Command.withdraw_key());
  case command::kSetDrain:
    return setDrain(Command.set_drain());
  case command::kReplaceConfiguration:
    return replaceConfiguration(
        unpackConfiguration(Command.replace_configuration()));
  case command::kStartRollout:
    return startRollout(Command.start_rollout());
  default:
    refuse(error_kind::Internal, "not a configuration change");
  }
}

void config_changes::setInventory(const wire::set_document &Change) {
  auto Parsed = std::make_shared<inventory>(parseInventory(Change.json()));
  checkRulesAgainst(*State.Rules, *Parsed);
  for (const auto &[Id, Key] : State.keys())
    if (!Key.Withdrawn && !Parsed->findAccount(Key.Account))
      refuse(error_kind::InvalidChange,
             fmt::format("inventory: client_accounts: account \"{}\" still has "
                         "the key {}",
                         Key.Account, Id));
  refuseUnsafeServiceChanges(State, *Parsed);
  State.Inventory = std::move(Parsed);
  State.InventoryJson = Change.json();
  endRolloutsOfRemovedServices();
  State.reconcileSlotTables();
}

void config_changes::setRules(const wire::set_document &Change) {
  auto Parsed = std::make_shared<rules>(parseRules(Change.json()));
  checkRulesAgainst(*Parsed, *State.Inventory);
  State.updateLongestTimeouts(*Parsed);
  State.Rules = std::move(Parsed);
  State.RulesJson = Change.json();
}

//! A configuration whose number is not above the one in force is accepted but
//! not applied: it is an older one that arrives late, or the same one sent
//! again. The configuration version increases nevertheless.
void config_changes::replaceConfiguration(
    const wire::replace_configuration &Change) {
  auto Inventory =
      std::make_shared<inventory>(parseInventory(Change.inventory_json()));
  auto Rules = std::make_shared<rules>(parseRules(Change.rules_json()));
  checkRulesAgainst(*Rules, *Inventory);
  auto Keys = readKeys(Change, *Inventory);
  if (Change.number() <= State.ConfigurationNumber)
    return;
  refuseResizedServices(State, *Inventory);
  State.updateLongestTimeouts(*Rules);
  State.ConfigurationNumber = Change.number();
  State.ConfigurationSource = Change.source();
  State.Inventory = std::move(Inventory);
  State.InventoryJson = Change.inventory_json();
  State.Rules = std::move(Rules);
  State.RulesJson = Change.rules_json();
  State.Keys = std::move(Keys);
  endRolloutsOfRemovedServices();
  State.reconcileSlotTables();
}

void config_changes::startRollout(const wire::start_rollout &Order) {
  if (!State.Inventory->findService(Order.service()))
    refuse(error_kind::NotFound,
           fmt::format("rollout: the inventory has no service \"{}\"",
                       Order.service()));
  State.Rollouts.start(Order, State.Index, State.TimeMs);
}

void config_changes::endRolloutsOfRemovedServices() {
  State.Rollouts.endWithout(
      [this](const std::string &Service) {
        return State.Inventory->findService(Service) != nullptr;
      },
      State.Index);
}

void config_changes::issueKey(const wire::issue_key &Change) {
  if (!State.Inventory->findAccount(Change.account()))
    refuse(error_kind::NotFound,
           fmt::format("the inventory has no client account \"{}\"",
                       Change.account()));
  if (Change.key_id().empty() || Change.key_hash().size() != HashBytes)
    refuse(error_kind::InvalidChange, "the key has no id or no whole hash");
  if (State.Keys->contains(Change.key_id()))
    refuse(error_kind::InvalidChange,
           fmt::format("the key {} exists already", Change.key_id()));
  auto Keys = std::make_shared<key_map>(*State.Keys);
  Keys->emplace(Change.key_id(),
                account_key{Change.account(), Change.key_hash(), false});
  State.Keys = std::move(Keys);
}

void config_changes::withdrawKey(const wire::withdraw_key &Change) {
  if (!State.Keys->contains(Change.key_id()))
    refuse(error_kind::NotFound,
           fmt::format("there is no key {}", Change.key_id()));
  auto Keys = std::make_shared<key_map>(*State.Keys);
  Keys->at(Change.key_id()).Withdrawn = true;
  State.Keys = std::move(Keys);
}

void config_changes::setDrain(const wire::set_drain &Change) {
  if (Change.scope() == wire::set_drain::FAILURE_DOMAIN) {
    if (!State.Inventory->findFailureDomain(Change.name()))
      refuse(error_kind::NotFound,
             fmt::format("the inventory has no failure domain \"{}\"",
                         Change.name()));
    if (!Change.out() && State.DrainedDomains.contains(Change.name()))
      State.markDomainCold(Change.name());
    return insertOrErase(State.DrainedDomains, Change.name(), Change.out());
  }
  if (Change.out() && !State.targets().contains(Change.name()))
    refuse(error_kind::NotFound,
           fmt::format("there is no target \"{}\"", Change.name()));
  insertOrErase(State.DrainedTargets, Change.name(), Change.out());
}

} // namespace pomelo
