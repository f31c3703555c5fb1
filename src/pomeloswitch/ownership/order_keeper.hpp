//! The leader's orders to targets that learn by calls which slots they own.
//!
//! A grant lets its target serve some slots for a hold time from its arrival
//! and is renewed by the same call; a release ends that early. An order without
//! an answer may still be carried out, so it counts until its hold has surely
//! run out. The keeper decides which calls to make and tells the planner what
//! they came to; it makes none itself.
#ifndef POMELOSWITCH_OWNERSHIP_ORDER_KEEPER_HPP
#define POMELOSWITCH_OWNERSHIP_ORDER_KEEPER_HPP

#include "pomeloswitch/membership/lease_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelo {

enum class order_kind { Grant, Release };

//! One call to one target about neighbouring slots.
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
  milliseconds Hold{0}; //!< Of a grant.
  std::string Handover; //!< What the last owner passed on; may be empty.
};

enum class order_outcome {
  Done,
  NotDone,     //!< It was surely not carried out and will not be.
  Refused,     //!< The target has seen a higher token on one of the keys.
  NoAnswer,    //!< It may be carried out yet.
  Broken,      //!< Likewise, and the target's process may be another one now.
  Unreachable, //!< Not carried out, and its process may be another one now.
  Gone,        //!< Another process has its address, so its own has ended.
};

struct order_result {
  order_outcome Outcome = order_outcome::NoAnswer;
  std::string Handover; //!< From a release that was done.
};

struct order_times {
  milliseconds Hold{2000};
  milliseconds RenewEvery{500};
  milliseconds RetryAfter{300};
  //! A call is given up after this long.
  milliseconds CallTimeout{700};
  //! A release is answered when the work under way has ended.
  milliseconds ReleaseTimeout{2500};
  //! Time that a given-up call may still spend on its way.
  milliseconds InTransit{150};
  //! A target's clock may run this much slow.
  double MaxClockDrift = 0.03;
  //! A target none of whose calls was done for so long is given up, so that
  //! what it may hold runs out.
  milliseconds GivenUpAfter{1000};
};

class order_keeper {
public:
  explicit order_keeper(order_times Times) : Times(Times) {}

  //! Begins a term as leader: what an earlier one ordered may still count.
  void startTerm(const cluster_state &State, mono_time Now);

  //! The calls to make now. Each one's result must be told by answered().
  std::vector<target_order> due(const cluster_state &State,
                                const lease_table &Leases, mono_time Now);
  void answered(const target_order &Order, const order_result &Result,
                mono_time Now);

  //! Tells \p Leases what every target that is ordered by calls may hold.
  void noteHolds(const cluster_state &State, lease_table &Leases,
                 mono_time Now) const;

private:
  //! What is known of one slot.
  struct slot_hold {
    mono_time AnsweredUntil{};     //!< By grants that were answered.
    mono_time LateUntil{};         //!< By grants that may be carried out late.
    unsigned InFlight = 0;         //!< Grants on their way.
    std::uint64_t Token = 0;       //!< Of the latest grant that was sent.
    std::uint64_t Confirmed = 0;   //!< Token of the latest grant answered.
    std::string Handover;          //!< From the last release.
    std::uint64_t HandoverFor = 0; //!< Token of the grant that passes it on.
  };
  //! Neighbouring slots that one call covers.
  struct run {
    std::uint32_t First = 0;
    std::uint32_t Last = 0;
    std::uint64_t Token = 0;
    order_kind Kind = order_kind::Grant;
    bool operator<(const run &Other) const {
      return std::tie(First, Last, Token, Kind) <
             std::tie(Other.First, Other.Last, Other.Token, Other.Kind);
    }
    bool operator==(const run &) const = default;
  };
  struct call_record {
    bool InFlight = false;
    bool Failed = false;
    mono_time EndedAt{};
  };
  struct target_record {
    std::uint64_t Incarnation = 0;
    bool Suspect = false;  //!< Its process may have been started anew.
    mono_time FailedAt{};  //!< Of the latest call, if that failed.
    mono_time DoneAt{};    //!< Of the latest call that was done, or the first.
    unsigned Failures = 0; //!< In a row.
    std::map<std::pair<std::string, run>, call_record> Calls;
  };

  struct found_run {
    run Run;
    std::string Owner;
    std::string Handover;
  };

  std::vector<slot_hold> &holdsOf(const std::string &Service,
                                  std::size_t SlotCount);
  target_record &recordOf(const target_member &Member);
  static void fitHandover(slot_hold &Hold, const owned_slot &Slot);
  [[nodiscard]] std::vector<found_run> runsOf(const cluster_state &State,
                                              const service &Service);
  [[nodiscard]] bool grantUnderWay(const service &Service,
                                   const found_run &Found) const;
  [[nodiscard]] bool callDue(const call_record &Call, order_kind Kind,
                             mono_time Now) const;
  void addOrders(const cluster_state &State, const service &Service,
                 mono_time Now, std::vector<target_order> &Orders);
  void noteSent(const std::string &Service, const run &Run);
  static void noteReleased(slot_hold &Slot, std::uint64_t Token,
                           const std::string &Handover);
  void forgetOldCalls(const cluster_state &State, const lease_table &Leases);
  [[nodiscard]] mono_time surelyEnded(mono_time From) const;
  [[nodiscard]] mono_time mayServeUntil(const slot_hold &Slot,
                                        mono_time Now) const;
  void noteSlot(const std::string &Service, std::uint32_t Number,
                const owned_slot &Slot, const slot_hold &Known, mono_time Now,
                call_hold &Hold) const;
  void noteTarget(const std::string &TargetId, bool HasSlots, mono_time Now,
                  call_hold &Hold) const;

  order_times Times;
  std::map<std::string, std::vector<slot_hold>, std::less<>> Holds;
  std::map<std::string, target_record, std::less<>> Targets;
};

} // namespace pomelo

#endif
