//! Carries out the roll-outs of all services at the leader.
//!
//! Collects the counts of the entry hosts, asks a judge for each roll-out, and
//! returns the commands that put its decisions into the replicated log. Uses no
//! clock and no network.
#ifndef POMELOSWITCH_ROLLOUT_ROLLOUT_COORDINATOR_HPP
#define POMELOSWITCH_ROLLOUT_ROLLOUT_COORDINATOR_HPP

#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch/rollout/rollout_judge.hpp"
#include "pomeloswitch/rollout/rollout_meter.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelo::wire {
class command;
class heartbeat;
} // namespace pomelo::wire

namespace pomelo {

class rollout_coordinator {
public:
  explicit rollout_coordinator(exposure_bounds Exposure) : Exposure(Exposure) {}

  //! Starts a term as leader: the hosts report anew.
  void startTerm();
  //! Records the counts that a heartbeat contains. A later life of a host
  //! counts from 0; what its earlier lives have reported is kept.
  void recordHeartbeat(const wire::heartbeat &Heartbeat);
  //! Returns the changes to propose now. Call at regular intervals. \p UnixMs
  //! is the leader's clock at \p Now.
  [[nodiscard]] std::vector<wire::command> step(const cluster_state &State,
                                                const lease_table &Leases,
                                                mono_time Now,
                                                std::uint64_t UnixMs);

private:
  //! A host and its incarnation.
  using host_life = std::pair<std::string, std::uint64_t>;

  //! One roll-out under way.
  struct progress {
    std::uint64_t StartedIndex = 0;
    std::map<host_life, service_outcomes> Reports;
    std::optional<rollout_judge> Judge;
    //! When this leader first saw the roll-out, and its age then.
    mono_time SeenAt{};
    milliseconds AgeWhenSeen{0};
    //! When all hosts were first seen to follow the latest change.
    std::optional<mono_time> ConfirmedAt;
    std::uint64_t ConfirmedIndex = 0; //!< Of that change.
    //! When the latest change was proposed, and upon which change.
    mono_time ProposedAt{};
    std::uint64_t ProposedUpon = 0;
  };

  std::optional<wire::command> stepOf(const std::string &Service,
                                      const rollout &Rollout,
                                      const cluster_state &State,
                                      const lease_table &Leases, mono_time Now,
                                      std::uint64_t UnixMs);
  static void begin(const rollout &Rollout, std::uint64_t UnixMs,
                    progress &Progress, mono_time Now);
  std::optional<wire::command> judge(const std::string &Service,
                                     const rollout &Rollout,
                                     const cluster_state &State,
                                     progress &Progress, mono_time Now) const;
  static std::optional<wire::command>
  complete(const std::string &Service, const rollout &Rollout,
           const cluster_state &State, const lease_table &Leases,
           progress &Progress, mono_time Now);

  exposure_bounds Exposure;
  std::map<std::string, progress, std::less<>> Services;
};

} // namespace pomelo

#endif
