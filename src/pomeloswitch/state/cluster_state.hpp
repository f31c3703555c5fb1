//! The replicated state: configuration, membership, slot ownership, claims and
//! crashes.
//!
//! Every control host and entry host applies the same log to a state of this
//! type, so their states are equal at equal log indexes. Applying a command is
//! deterministic: the time is taken from the command.
#ifndef POMELOSWITCH_STATE_CLUSTER_STATE_HPP
#define POMELOSWITCH_STATE_CLUSTER_STATE_HPP

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/settings/inventory.hpp"
#include "pomeloswitch/settings/rules.hpp"
#include "pomeloswitch/state/claim_table.hpp"
#include "pomeloswitch/state/crash_table.hpp"
#include "pomeloswitch/state/rollout_table.hpp"
#include "pomeloswitch/state/slot_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::wire {
class command;
class grant_slots;
class host_joined;
class refine_slots;
class state_snapshot;
class target_cold;
class target_joined;
} // namespace pomelo::wire

namespace pomelo {

//! The result of applying a command. A refused command has changed nothing.
struct apply_result {
  std::optional<error_kind> Refusal; //!< Absent when the command was accepted.
  std::uint64_t Version = 0;         //!< Configuration version afterwards.
  std::string Message;               //!< Reason of a refusal.
  claim_table::result Claim = {};    //!< Set for claims.

  [[nodiscard]] bool accepted() const { return !Refusal.has_value(); }
};

//! A key by which a client account authenticates.
struct account_key {
  std::string Account;
  std::string KeyHash; //!< HMAC-SHA256, 32 bytes.
  bool Withdrawn = false;
};

//! An entry host that is a member.
struct entry_member {
  std::string HostId;
  std::uint64_t Incarnation = 0;
  std::string FailureDomain;
  //! Whether requests that an earlier incarnation sent may still be running.
  bool Replaced = false;
};

//! Largest number of members of one service. Bounds the memory that forged
//! announcements can use.
inline constexpr std::size_t MaxTargetsPerService = 4096;

//! A target that is a member, or that has announced itself.
struct target_member {
  std::string TargetId;
  std::uint64_t Incarnation = 0;
  std::string Service;
  std::string FailureDomain;
  std::string Address;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1; //!< 0 if the service's settings apply.
  bool ChecksFence = false;
  bool Leaving = false; //!< The target has announced that it will leave.
  std::uint64_t JoinedMs = 0;
  //! Unix time at which its process started, ms; 0 if unknown.
  std::uint64_t StartedMs = 0;
  //! Whether the leader calls the target to tell it which slots it owns.
  bool OrderedByCall = false;
  bool Cold = false;        //!< Takes only a low request rate for now.
  std::string Version = {}; //!< Of its software; empty if unknown.
};

using key_map = std::map<std::string, account_key, std::less<>>;
using entry_map = std::map<std::string, entry_member, std::less<>>;
using target_map = std::map<std::string, target_member, std::less<>>;
using name_set = std::set<std::string, std::less<>>;

//! The replicated state. Not thread-safe.
class cluster_state {
public:
  cluster_state();

  //! Applies the command at \p Index. Indexes must never decrease.
  apply_result apply(std::uint64_t Index, const wire::command &Command);

  [[nodiscard]] wire::state_snapshot toSnapshot() const;
  //! \throws pomelo_error StorageFailed if the inventory or the rules of the
  //! snapshot are invalid.
  static cluster_state fromSnapshot(const wire::state_snapshot &Snapshot);

  [[nodiscard]] std::uint64_t index() const { return Index; }
  [[nodiscard]] std::uint64_t configVersion() const { return ConfigVersion; }
  //! The number that operators gave to the last complete configuration, see
  //! replace_configuration; 0 if there was none.
  [[nodiscard]] std::uint64_t configurationNumber() const {
    return ConfigurationNumber;
  }
  //! The source text of that configuration; empty if there was none.
  [[nodiscard]] const std::string &configurationSource() const {
    return ConfigurationSource;
  }
  //! Unix time of the latest command, ms.
  [[nodiscard]] std::uint64_t timeMs() const { return TimeMs; }

  // The views built from this state share these objects. An object is never
  // modified while it is shared: a change replaces it.
  [[nodiscard]] const std::shared_ptr<const inventory> &
  sharedInventory() const {
    return Inventory;
  }
  [[nodiscard]] const std::shared_ptr<const rules> &sharedRules() const {
    return Rules;
  }
  [[nodiscard]] const std::shared_ptr<const key_map> &sharedKeys() const {
    return Keys;
  }
  [[nodiscard]] const std::shared_ptr<const target_map> &sharedTargets() const {
    return Targets;
  }
  [[nodiscard]] std::shared_ptr<const slot_table>
  sharedSlots(std::string_view Service) const;
  //! Returns the names of the services with a slot table, which a service that
  //! was removed keeps while any of its slots has an owner.
  [[nodiscard]] std::vector<std::string> servicesWithSlots() const;
  //! Returns the slot of \p Key. \throws pomelo_error NotFound if \p Service is
  //! not divided by key, MissingKey if it has no such key.
  [[nodiscard]] std::uint32_t slotNumberOf(std::string_view Service,
                                           std::string_view Key) const;

  [[nodiscard]] const std::shared_ptr<const crash_table> &
  sharedCrashes() const {
    return Crashes;
  }

  [[nodiscard]] const rollout_table &rollouts() const { return Rollouts; }

  [[nodiscard]] const std::string &inventoryJson() const {
    return InventoryJson;
  }
  [[nodiscard]] const std::string &rulesJson() const { return RulesJson; }
  [[nodiscard]] const entry_map &entryHosts() const { return EntryHosts; }
  [[nodiscard]] const target_map &targets() const { return *Targets; }
  [[nodiscard]] const key_map &keys() const { return *Keys; }
  [[nodiscard]] const name_set &drainedDomains() const {
    return DrainedDomains;
  }
  [[nodiscard]] const name_set &drainedTargets() const {
    return DrainedTargets;
  }

  //! The longest deadline, ms, that requests of the service were ever given.
  //! It never decreases, because a host that is disconnected may still run
  //! requests under older rules.
  [[nodiscard]] std::uint32_t longestDeadlineMs(std::string_view Service) const;
  //! The longest open_isolation_ms ever in force. It never decreases, for the
  //! same reason.
  [[nodiscard]] std::uint32_t longestIsolationMs() const {
    return LongestIsolationMs;
  }

  //! Whether \p Announced may become a member: it is a newer incarnation than
  //! the member with its id, its service has fewer than MaxTargetsPerService
  //! other members, and no other member has its address, except a process that
  //! started earlier.
  [[nodiscard]] bool mayJoin(const target_member &Announced) const;

  //! Whether a roll-out of its service lets the target get requests.
  [[nodiscard]] bool allowedByRollout(const target_member &Target) const;
  //! Whether operators have drained the target or its failure domain.
  [[nodiscard]] bool drainedByOperators(const target_member &Target) const;

private:
  friend class config_changes;

  struct operation_result {
    std::string OperationId;
    apply_result Result;
  };

  apply_result applyConfig(const wire::command &Command);
  void applyMembership(const wire::command &Command);
  void applyOwnership(const wire::command &Command);
  [[nodiscard]] bool isMember(std::string_view HostId,
                              std::uint64_t Incarnation) const;
  apply_result applyClaim(const wire::command &Command);
  void applyCrash(const wire::command &Command);
  void joinHost(const wire::host_joined &Joined);
  void joinTarget(const wire::target_joined &Joined);
  void grantSlots(const wire::grant_slots &Grants);
  void refineSlots(const wire::refine_slots &Change);
  //! Raises the longest deadlines and isolation time to those of \p Changed.
  void updateLongestTimeouts(const rules &Changed);
  void reconcileSlotTables();
  void setCold(const wire::target_cold &Change);
  void removeTarget(target_map &From, const std::string &TargetId);
  //! Marks the targets of a failure domain whose drain ends as cold if their
  //! service limits the rate of cold targets.
  void markDomainCold(std::string_view FailureDomain);
  void revokeSlotsOf(const target_member &Target);
  slot_table &mutableSlots(const std::string &Service);
  void rememberOperation(const std::string &OperationId,
                         const apply_result &Result);
  [[nodiscard]] const apply_result *
  findOperation(const std::string &OperationId) const;

  std::uint64_t Index = 0;
  std::uint64_t ConfigVersion = 0;
  std::uint64_t TimeMs = 0;
  std::uint64_t NextToken = 1;
  std::uint64_t ConfigurationNumber = 0;
  std::string ConfigurationSource;
  std::string InventoryJson;
  std::string RulesJson;
  std::shared_ptr<const inventory> Inventory;
  std::shared_ptr<const rules> Rules;
  std::shared_ptr<const key_map> Keys;
  std::shared_ptr<const target_map> Targets;
  std::map<std::string, std::shared_ptr<slot_table>, std::less<>> Slots;
  std::map<std::string, std::uint32_t, std::less<>> LongestDeadlines;
  std::uint32_t LongestIsolationMs = 0;
  entry_map EntryHosts;
  name_set DrainedDomains;
  name_set DrainedTargets;
  std::map<std::string, apply_result> Operations;
  std::deque<std::string> OperationOrder;
  claim_table Claims;
  rollout_table Rollouts;
  std::shared_ptr<const crash_table> Crashes;
};

} // namespace pomelo

#endif
