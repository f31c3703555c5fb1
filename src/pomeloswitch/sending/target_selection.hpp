//! Selects the target for one request, or refuses the request.
//!
//! The class uses neither clock, sockets nor timers: the exchange calls
//! decide() repeatedly with the latest view and the time until it returns a
//! target or throws.
#ifndef POMELOSWITCH_SENDING_TARGET_SELECTION_HPP
#define POMELOSWITCH_SENDING_TARGET_SELECTION_HPP

#include "pomeloswitch/routing/target_subset.hpp"
#include "pomeloswitch/sending/send_state.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! Attributes of a request that waits for a target.
struct pending_request {
  std::string Service;
  std::optional<std::string> Key; //!< Set if the service is keyed.
  std::uint32_t Priority = 0;     //!< 0 is the most urgent.
  std::chrono::steady_clock::time_point Deadline;
  //! 0 if the route has none.
  std::chrono::milliseconds LatencyGoal{0};
  std::uint64_t BodyBytes = 0;
  //! Targets that must not get the request again.
  std::vector<std::string> ExcludedTargets;
};

//! Selects the target of one pending request and holds its position in the wait
//! queue.
class target_selection {
public:
  using time_point = std::chrono::steady_clock::time_point;

  //! \p State must outlive this object.
  target_selection(send_state &State, pending_request Request, time_point Now);

  //! Returns the target to send to now, or nothing if the caller should call
  //! again after PollInterval. A returned target has been counted against its
  //! cold-start limit. \p Authoritative tells whether this host is currently
  //! authorised to route.
  //! \throws pomelo_error with a kind that says the request did not run; may
  //!         carry a retry time.
  std::optional<slot_owner> decide(const routing_view &View, bool Authoritative,
                                   time_point Now);

  //! Key slot of the request, once it has been looked up.
  [[nodiscard]] std::optional<std::uint32_t> slot() const { return Slot; }

  static constexpr std::chrono::milliseconds PollInterval{10};

private:
  //! What the targets of a service free for waiting requests.
  struct freed_capacity {
    double PerSecond = 0;
    //! Until one may be sent to, requests ahead apart.
    std::chrono::duration<double> Earliest =
        std::chrono::duration<double>::max();
  };

  std::optional<slot_owner> decideByKey(const routing_view &View,
                                        bool Authoritative, time_point Now);
  std::optional<slot_owner> decideByLoad(const routing_view &View,
                                         bool Authoritative, time_point Now);
  [[nodiscard]] routing_target_ptr choose(const routing_view &View,
                                          bool Authoritative, time_point Now);
  [[nodiscard]] routing_target_ptr chooseAmong(const routing_view &View,
                                               const routing_service &Service,
                                               time_point Now);
  [[nodiscard]] std::size_t subsetSizeOf(const routing_view &View,
                                         const routing_service &Service,
                                         time_point Now) const;
  //! The result refers to the arguments.
  [[nodiscard]] target_predicates makePredicates(const routing_view &View,
                                                 const routing_service &Service,
                                                 bool NewVersion,
                                                 time_point Now);
  [[nodiscard]] bool canTakeRequest(const routing_target &Target,
                                    time_point Now) const;
  bool admitIfCold(const routing_view &View, const routing_service &Service,
                   const routing_target &Target, bool Consume, time_point Now);
  [[nodiscard]] double coldShareOf(const routing_view &View,
                                   const routing_service &Service,
                                   time_point Now);
  void drawVersion(const routing_service &Service, bool Authoritative);
  [[nodiscard]] static bool ofVersion(const routing_service &Service,
                                      const routing_target &Target, bool New);
  void enqueue(const std::string &QueueName);
  void refuseIfUnwanted(const routing_view &View, time_point Now) const;
  void refuseBeyondShare(const routing_target &Owner, time_point Now);
  void refuseIfWaitTooLong(const routing_service &Service,
                           const routing_target &Target, time_point Now) const;
  void refuseIfQueueTooLong(const routing_view &View, bool Authoritative,
                            time_point Now);
  void addCapacity(const routing_view &View, const routing_service &Service,
                   bool NewVersion, time_point Now, freed_capacity &Capacity);
  [[noreturn]] static void refuseKey(bool Authoritative, bool Owned);

  send_state &State;
  pending_request Request;
  time_point WaitDeadline;
  std::optional<std::uint32_t> Slot;
  bool ArrivalRecorded = false; //!< Of a request without a key.
  //! Whether the request goes to the new version of the roll-out that began at
  //! SplitIndex.
  bool ToNewVersion = false;
  std::uint64_t SplitIndex = 0;
  //! See coldShareOf(); computed at most once for each choice.
  std::optional<double> ColdShare;
  bool WithinShare = false; //!< Of the owner of the key.
  bool Bounded = false;     //!< The leader bounds what the owner gets.
  std::string Queue;
  std::optional<wait_queues::position> Position;
};

//! Message of NotAuthoritative errors: without contact to the control group
//! this host cannot know who owns a key.
constexpr const char *LostContact =
    "this entry host has lost contact with the control group";

} // namespace pomelo

#endif
