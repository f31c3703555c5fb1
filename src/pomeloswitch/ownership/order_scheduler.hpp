//! Scheduling of the calls that grant slots to targets and release them, for
//! targets that are ordered by calls.
//!
//! A grant lets its target serve some slots for a limited time from its arrival
//! and is renewed by the same call; a release ends it early. A grant without an
//! answer may still be carried out, so its slots are treated as served until it
//! has certainly expired. The scheduler decides which calls to make and records
//! their results in the lease table, where the planner reads them; it makes no
//! calls itself.
#ifndef POMELOSWITCH_OWNERSHIP_ORDER_SCHEDULER_HPP
#define POMELOSWITCH_OWNERSHIP_ORDER_SCHEDULER_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelo {

//! What a call tells its target to do.
enum class order_kind { Grant, Release };

//! One call that grants or releases adjacent slots of one target.
struct target_order {
  order_kind Kind = order_kind::Grant;
  std::string TargetId;
  std::uint64_t Incarnation = 0;
  std::string Address;
  std::string Service;
  std::uint32_t FirstSlot = 0;
  std::uint32_t LastSlot = 0;  //!< Inclusive.
  std::uint32_t SlotCount = 0; //!< Of the service.
  std::uint32_t KeySpace = 0;  //!< Of the service.
  std::uint64_t Token = 0;
  milliseconds GrantDuration{0}; //!< How long a grant is valid.
  std::string Handover; //!< Data from the previous owner; may be empty.
};

//! How a call ended.
enum class order_outcome {
  Done,
  NotDone,          //!< It was not carried out and will not be.
  Refused,          //!< The target has seen a higher token on one of the keys.
  NoAnswer,         //!< It may still be carried out.
  ConnectionBroken, //!< It may still be carried out; the target's process may
                    //!< have been replaced.
  Unreachable,      //!< It was not carried out; the target's process may have
                    //!< been replaced.
  ProcessEnded,     //!< Another process uses the target's address, so the
                    //!< target's process has ended.
};

//! The result of a call.
struct order_result {
  order_outcome Outcome = order_outcome::NoAnswer;
  std::string Handover; //!< From a release that was carried out.
};

//! Durations and timeouts of the calls.
struct order_times {
  milliseconds GrantDuration{2000}; //!< How long a grant is valid.
  milliseconds RenewEvery{500}; //!< From the answer to a grant to its renewal.
  milliseconds RetryAfter{300}; //!< From the end of a failed call to its retry.
  //! Timeout of a grant call.
  milliseconds CallTimeout{700};
  //! Timeout of a release call, which the target answers only when its work in
  //! progress has ended.
  milliseconds ReleaseTimeout{2500};
  //! Time after its timeout within which a call may still reach its target.
  milliseconds InTransit{150};
  //! Fraction by which a target's clock may run slow.
  double MaxClockDrift = 0.03;
  //! If no call to a failing target has succeeded for this long, its slots are
  //! to be revoked, so that its grants expire.
  milliseconds UnresponsiveTimeout{1000};
};

//! Schedules grants, renewals and releases and tracks how long each target may
//! still serve each slot.
class order_scheduler {
public:
  explicit order_scheduler(order_times Times) : Times(Times) {}

  //! Starts a term as leader. Grants of an earlier leader may still be valid
  //! and its last calls may still be under way, so every slot of a target that
  //! is ordered by calls, or of one that is no longer a member, counts as
  //! granted by a call that begins now and gets no answer.
  void startTerm(const cluster_state &State, mono_time Now);

  //! Returns the calls to make now and counts them as in flight. The result of
  //! each must be passed to recordResult(). Renewals are spread over time, so
  //! that they leave room for other work.
  std::vector<target_order> dueOrders(const cluster_state &State,
                                      const lease_table &Leases, mono_time Now);
  //! Records the result of a call returned by dueOrders(). Returns whether it
  //! may change a plan; a renewal of a known grant does not.
  bool recordResult(const target_order &Order, const order_result &Result,
                    mono_time Now);

  //! Updates in \p Leases the status of every target that is ordered by calls
  //! and the slots of those that are no longer members.
  void updateLeases(const cluster_state &State, lease_table &Leases,
                    mono_time Now) const;

private:
  //! The grants of one slot.
  struct slot_grant_state {
    mono_time AnsweredUntil{};   //!< When answered grants expire.
    mono_time UnansweredUntil{}; //!< When unanswered grants expire.
    unsigned GrantsInFlight = 0;
    std::uint64_t SentToken = 0;      //!< Highest token of the grants sent.
    std::uint64_t ConfirmedToken = 0; //!< Highest token of the grants answered.
    std::string Handover;             //!< From the latest release.
    //! Token of the grant that passes the hand-over on; 0 if there is none yet.
    std::uint64_t HandoverToken = 0;
  };
  //! Adjacent slots that one call covers.
  struct slot_run {
    std::uint32_t First = 0;
    std::uint32_t Last = 0;
    std::uint64_t Token = 0;
    order_kind Kind = order_kind::Grant;
    std::uint32_t SlotCount = 0; //!< Of the service, when the run was made.
    bool operator<(const slot_run &Other) const {
      return std::tie(First, Last, Token, Kind, SlotCount) <
             std::tie(Other.First, Other.Last, Other.Token, Other.Kind,
                      Other.SlotCount);
    }
    bool operator==(const slot_run &) const = default;
  };
  //! The latest call for one run of slots.
  struct call_record {
    bool InFlight = false;
    bool Failed = false;
    mono_time EndedAt{}; //!< Default value if no call has ended.
  };
  //! The calls to one incarnation of a target.
  struct target_record {
    std::uint64_t Incarnation = 0;
    bool MaybeRestarted = false; //!< Its process may have been replaced.
    mono_time LastFailureAt{};
    mono_time LastSuccessAt{}; //!< Or when the first call was made.
    //! Failed calls since the last success and the last announcement.
    unsigned RecentFailures = 0;
    std::map<std::pair<std::string, slot_run>, call_record> Calls;
  };

  //! A run of slots with the same owner and hand-over.
  struct owned_slot_run {
    slot_run Run;
    std::string Owner;
    std::string Handover;
  };

  //! A run with the records that tell when its call is due.
  struct scheduled_run {
    owned_slot_run Owned;
    const target_member *Member = nullptr;
    target_record *Record = nullptr;
    call_record *Call = nullptr;
  };
  //! The runs of one service, valid for one version of its slot table and until
  //! a call ends that is not a renewal.
  struct service_schedule {
    std::shared_ptr<const slot_table> Table;
    std::vector<scheduled_run> Runs;
  };

  static std::optional<slot_run> renumbered(const slot_run &Run,
                                            std::size_t SlotCount);
  std::vector<slot_grant_state> &grantStatesOf(const std::string &Service,
                                               std::size_t SlotCount);
  target_record &recordOf(const target_member &Member);
  static void assignHandover(slot_grant_state &Grants,
                             const slot_ownership &Slot);
  [[nodiscard]] std::vector<owned_slot_run>
  ownedRunsOf(const cluster_state &State, const service &Service);
  [[nodiscard]] bool grantInFlight(const service &Service,
                                   const owned_slot_run &Owned) const;
  [[nodiscard]] bool callDue(const call_record &Call, order_kind Kind,
                             mono_time Now) const;
  void followMembers(const cluster_state &State);
  service_schedule &scheduleOf(const cluster_state &State,
                               const service &Service);
  void forgetOtherCalls(const service &Service,
                        const std::vector<scheduled_run> &Runs);
  void addOrders(const cluster_state &State, const service &Service,
                 mono_time Now, std::vector<target_order> &Orders);
  void takeGrants(const service &Service, const service_schedule &Schedule,
                  std::vector<const scheduled_run *> Due, mono_time Now,
                  std::vector<target_order> &Orders);
  void addOrder(const service &Service, const service_schedule &Schedule,
                const scheduled_run &Scheduled, mono_time Now,
                std::vector<target_order> &Orders);
  void recordSent(const std::string &Service, const slot_run &Run);
  static void recordReleased(slot_grant_state &Slot, std::uint64_t Token,
                             const std::string &Handover);
  bool recordForSlots(const target_order &Order, const order_result &Result,
                      mono_time Now);
  void recordEnded(const target_record &Record, const std::string &Service);
  void updateTargetRecords(const lease_table &Leases);
  [[nodiscard]] mono_time latestGrantEnd(mono_time CallEnd) const;
  [[nodiscard]] mono_time mayServeUntil(const slot_grant_state &Slot,
                                        mono_time Now) const;
  void addSlotStatus(const std::string &Service, std::uint32_t Number,
                     const slot_ownership &Slot, const slot_grant_state &Grants,
                     mono_time Now, called_target_status &Status) const;
  void addTargetStatus(const std::string &TargetId, bool HasSlots,
                       mono_time Now, called_target_status &Status) const;

  order_times Times;
  //! Grants of each slot, by service.
  std::map<std::string, std::vector<slot_grant_state>, std::less<>> GrantStates;
  std::map<std::string, target_record, std::less<>> Targets;
  //! The members that Targets and Schedules were made for.
  std::shared_ptr<const target_map> Members;
  std::map<std::string, service_schedule, std::less<>> Schedules;
  //! When the latest grants of each service were taken.
  std::map<std::string, mono_time, std::less<>> GrantsTakenAt;
};

} // namespace pomelo

#endif
