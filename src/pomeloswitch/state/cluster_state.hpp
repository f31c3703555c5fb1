//! The replicated state: configuration, membership and slot ownership.
//!
//! Every control host and entry host applies the same log to a state of this
//! type, so all of them agree at equal log indexes. Applying is deterministic:
//! time comes in with each command.
#ifndef POMELOSWITCH_STATE_CLUSTER_STATE_HPP
#define POMELOSWITCH_STATE_CLUSTER_STATE_HPP

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/settings/inventory.hpp"
#include "pomeloswitch/settings/rules.hpp"
#include "pomeloswitch/state/claim_table.hpp"
#include "pomeloswitch/state/crash_table.hpp"
#include "pomeloswitch/state/slot_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace pomelo::wire {
class command;
class grant_slots;
class host_joined;
class state_snapshot;
class target_cold;
class target_joined;
} // namespace pomelo::wire

namespace pomelo {

//! What became of a command. A refused command has changed nothing.
struct apply_result {
  std::optional<error_kind> Refusal; //!< Absent when the command was accepted.
  std::uint64_t Version = 0;         //!< Configuration version afterwards.
  std::string Message;
  claim_table::result Claim = {}; //!< Set for claims.

  [[nodiscard]] bool accepted() const { return !Refusal.has_value(); }
};

struct account_key {
  std::string Account;
  std::string KeyHash; //!< HMAC-SHA256, 32 bytes.
  bool Withdrawn = false;
};

struct entry_member {
  std::string HostId;
  std::uint64_t Incarnation = 0;
  std::string FailureDomain;
  //! Requests that an earlier incarnation sent may still run.
  bool Replaced = false;
};

//! Targets of one service that may be members at a time; bounds what forged
//! announcements can use up.
inline constexpr std::size_t MaxTargetsPerService = 4096;

struct target_member {
  std::string TargetId;
  std::uint64_t Incarnation = 0;
  std::string Service;
  std::string FailureDomain;
  std::string Address;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1; //!< 0 if its service tells.
  bool ChecksFence = false;
  bool Leaving = false;
  std::uint64_t JoinedMs = 0;
  //! Unix time of its process's start, ms; 0 if it does not tell.
  std::uint64_t StartedMs = 0;
  //! Whether it learns which slots it owns by calls of the leader.
  bool OrderedByCall = false;
  bool Cold = false; //!< Bears only few requests for now.
};

using key_map = std::map<std::string, account_key, std::less<>>;
using entry_map = std::map<std::string, entry_member, std::less<>>;
using target_map = std::map<std::string, target_member, std::less<>>;
using name_set = std::set<std::string, std::less<>>;

class cluster_state {
public:
  cluster_state();

  //! Applies the command at \p Index. Indexes never go back.
  apply_result apply(std::uint64_t Index, const wire::command &Command);

  [[nodiscard]] wire::state_snapshot toSnapshot() const;
  //! \throws pomelo_error StorageFailed if the snapshot is inconsistent.
  static cluster_state fromSnapshot(const wire::state_snapshot &Snapshot);

  [[nodiscard]] std::uint64_t index() const { return Index; }
  [[nodiscard]] std::uint64_t configVersion() const { return ConfigVersion; }
  //! The operators' number of the configuration that was replaced last as a
  //! whole, and its text; 0 and empty if none was.
  [[nodiscard]] std::uint64_t configurationNumber() const {
    return ConfigurationNumber;
  }
  [[nodiscard]] const std::string &configurationSource() const {
    return ConfigurationSource;
  }
  //! Unix time of the latest command, ms.
  [[nodiscard]] std::uint64_t timeMs() const { return TimeMs; }

  // Parts are shared with the views built from them; a change to a part
  // replaces it and leaves the shared one as it was.
  [[nodiscard]] const std::shared_ptr<const inventory> &inventoryPart() const {
    return Inventory;
  }
  [[nodiscard]] const std::shared_ptr<const rules> &rulesPart() const {
    return Rules;
  }
  [[nodiscard]] const std::shared_ptr<const key_map> &keysPart() const {
    return Keys;
  }
  [[nodiscard]] const std::shared_ptr<const target_map> &targetsPart() const {
    return Targets;
  }
  [[nodiscard]] std::shared_ptr<const slot_table>
  slotsPart(std::string_view Service) const;
  //! The slot of \p Key. \throws pomelo_error NotFound if \p Service is not
  //! divided by key, MissingKey if it has no such key.
  [[nodiscard]] std::uint32_t slotNumberOf(std::string_view Service,
                                           std::string_view Key) const;

  [[nodiscard]] const std::shared_ptr<const crash_table> &crashesPart() const {
    return Crashes;
  }

  [[nodiscard]] const std::string &inventoryJson() const {
    return InventoryJson;
  }
  [[nodiscard]] const std::string &rulesJson() const { return RulesJson; }
  [[nodiscard]] const entry_map &entryHosts() const { return EntryHosts; }
  [[nodiscard]] const target_map &targets() const { return *Targets; }
  [[nodiscard]] const key_map &keys() const { return *Keys; }
  [[nodiscard]] const name_set &domainsOut() const { return DomainsOut; }
  [[nodiscard]] const name_set &targetsOut() const { return TargetsOut; }

  //! The longest deadline, ms, that requests of the service were ever given.
  //! It never shrinks: a lost host may still run requests under older rules.
  [[nodiscard]] std::uint32_t longestDeadlineMs(std::string_view Service) const;
  //! The longest open_isolation_ms ever in force; it never shrinks either.
  [[nodiscard]] std::uint32_t longestIsolationMs() const {
    return LongestIsolationMs;
  }

  //! Whether \p Announced may become a member: it is newer than the member of
  //! its id, no other member has its address but one whose process started
  //! before, and its service is not full.
  [[nodiscard]] bool mayJoin(const target_member &Announced) const;

  //! Whether operators have taken the target or its failure domain out.
  [[nodiscard]] bool takenOut(const target_member &Target) const;

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
  void noteLimitsOf(const rules &Changed);
  void fitSlotTables();
  void setCold(const wire::target_cold &Change);
  void removeTarget(target_map &From, const std::string &TargetId);
  //! Targets that come back with their domain may have become cold.
  void markDomainCold(std::string_view FailureDomain);
  void releaseSlotsOf(const target_member &Target);
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
  name_set DomainsOut;
  name_set TargetsOut;
  std::map<std::string, apply_result> Operations;
  std::deque<std::string> OperationOrder;
  claim_table Claims;
  std::shared_ptr<const crash_table> Crashes;
};

} // namespace pomelo

#endif
