//! Per-target statistics that one traffic thread gathers from its own requests.
//!
//! The class uses neither clock nor sockets: the traffic thread reports sends,
//! outcomes and load, and asks which targets are usable and how loaded they
//! are.
#ifndef POMELOSWITCH_ROUTING_TARGET_STATISTICS_HPP
#define POMELOSWITCH_ROUTING_TARGET_STATISTICS_HPP

#include "pomeloswitch/routing/full_target_detector.hpp"
#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace pomelo {

//! Load that a target reports about itself.
struct reported_load {
  double Running = 0;  //!< Running requests.
  double Waiting = 0;  //!< Queued requests.
  double Slots = 1;    //!< Requests that can run concurrently.
  double Slowdown = 1; //!< Factor on the usual run time.
};

//! Outcome of a request that was sent to a target.
enum class send_outcome {
  Answered,
  Shed,         //!< Rejected by the target for lack of capacity.
  Failed,       //!< Answered with an error or an invalid response.
  Lost,         //!< The connection was lost or not established.
  Silent,       //!< Timed out without a response.
  Inconclusive, //!< Says nothing about the target.
};

struct target_statistics_limits {
  std::chrono::milliseconds ShedBackoff{60};
  //! After a reset by a full target: such a reset may lose a request for good.
  std::chrono::milliseconds FullBackoff{150};
  std::chrono::milliseconds LostBackoff{700};
  std::chrono::milliseconds SilentBackoff{1500};
  std::chrono::milliseconds MaxBackoff{6000};
  //! After a lost connection the target may be a restarted process and counts
  //! as possibly cold for this long.
  std::chrono::milliseconds ColdSuspicion{4000};
  //! A target with requests in flight counts as unresponsive if it has not
  //! responded for MinUnresponsiveTime plus UnresponsiveLatencies times its
  //! average latency.
  std::chrono::milliseconds MinUnresponsiveTime{250};
  double UnresponsiveLatencies = 2.5;
  //! Time constant of the exponential decay of reported load.
  std::chrono::milliseconds LoadDecayTime{300};
  //! Queued requests per slot of a target; above this, every entry host reduces
  //! its window.
  double WaitingPerSlot = 0.6;
  double WindowIncrease = 0.3; //!< Requests, added by a report below the limit.
  double WindowDecrease =
      0.8; //!< Factor, by a report above it or a refusal or timeout.
  double FullDecrease = 0.5; //!< Factor, by a reset of a full target.
  double MinWindow = 0.1;
};

class target_statistics {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit target_statistics(target_statistics_limits Limits = {})
      : Limits(Limits) {}

  void recordSend(const routing_target &Target, time_point Now);
  //! Records how a request ended. \p Latency is the time since recordSend().
  void recordOutcome(const routing_target &Target, send_outcome Outcome,
                     std::chrono::nanoseconds Latency, time_point Now);
  void recordLoad(const routing_target &Target, const reported_load &Load,
                  time_point Now);

  //! Records that no connection to the target could be made.
  void recordUnreachable(const routing_target &Target, time_point Now);

  //! Whether requests may be sent to the target at all. After a failure the
  //! target is avoided for a backoff time that grows with consecutive failures.
  [[nodiscard]] bool usable(const routing_target &Target, time_point Now) const;
  //! Whether one more request fits into this host's share of the target's
  //! capacity. The share is a window on the requests in flight; a window below
  //! one spaces requests out in time; it counts as one if the leader bounds
  //! what all hosts send to the target (\p Bounded).
  [[nodiscard]] bool hasRoom(const routing_target &Target, time_point Now,
                             bool Bounded = false) const;
  //! Whether the target may have restarted recently and be cold.
  [[nodiscard]] bool mayBeCold(const routing_target &Target,
                               time_point Now) const;
  //! Expected wait for the target when \p Ahead other requests are queued
  //! before this one, estimated from this host's window.
  [[nodiscard]] std::chrono::duration<double>
  expectedWait(const routing_target &Target, std::size_t Ahead,
               bool Bounded = false) const;
  //! How long no request may be sent to the target for reasons that only time
  //! ends: a backoff, or a window below one.
  [[nodiscard]] std::chrono::duration<double>
  untilNextSend(const routing_target &Target, time_point Now,
                bool Bounded = false) const;
  //! Requests per second that the target takes of this host, by its window and
  //! its average latency.
  [[nodiscard]] double throughput(const routing_target &Target) const;
  //! Load estimate: average latency scaled by the outstanding requests per
  //! slot, the reported slowdown and the failure rate. Lower is better.
  [[nodiscard]] double score(const routing_target &Target,
                             time_point Now) const;
  //! Average latency in seconds by target id, from responses that did not queue
  //! at the target.
  [[nodiscard]] std::map<std::string, double> unqueuedLatencies() const;

  //! Removes target incarnations that are not in \p View and have no request in
  //! flight.
  void retain(const routing_view &View);

private:
  struct record {
    std::uint32_t InFlight = 0;
    double AverageSeconds = 0;  //!< Average latency; 0 before the first answer.
    double UnqueuedSeconds = 0; //!< Average of unqueued answers only.
    double FailureShare = 0;    //!< Moving average, 0 to 1.
    double Window = 0;          //!< Requests; 0 until first used.
    time_point SentAt{};
    time_point AnsweredAt{};
    //! Start of the time without a response to requests in flight.
    time_point NoResponseSince{};
    reported_load Load;
    double ExternalLoad = 0; //!< Reported load minus this thread's own.
    time_point LoadReportedAt{};
    unsigned Failures = 0; //!< Consecutive.
    time_point BackoffUntil{};
    time_point ConnectionLostAt{};
  };

  [[nodiscard]] bool resetByFullTarget(const routing_target &Target,
                                       const record &Record, time_point Now);
  static std::string recordKey(const routing_target &Target);
  [[nodiscard]] const record *find(const routing_target &Target) const;
  [[nodiscard]] static double windowOf(const record &Record, bool Bounded);
  [[nodiscard]] bool isUnresponsive(const record &Record, time_point Now) const;
  record &recordOf(const routing_target &Target);
  void adjustWindow(record &Record, bool Room) const;
  void backOff(record &Record, std::chrono::milliseconds BaseBackoff,
               time_point Now);

  target_statistics_limits Limits;
  std::map<std::string, record, std::less<>> Records;
  full_target_detector FullTargets;
};

} // namespace pomelo

#endif
