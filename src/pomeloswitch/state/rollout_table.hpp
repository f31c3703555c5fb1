//! Roll-outs of services to new versions.
#ifndef POMELOSWITCH_STATE_ROLLOUT_TABLE_HPP
#define POMELOSWITCH_STATE_ROLLOUT_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace pomelo::wire {
class advance_rollout;
class start_rollout;
class state_snapshot;
} // namespace pomelo::wire

namespace pomelo {

enum class rollout_stage {
  Running,    //!< The new version gets a share of the requests.
  Completing, //!< All requests go to the new version; hosts have to confirm it.
  Completed,  //!< The old versions get nothing and may stop.
  RolledBack, //!< The new version gets nothing and may stop.
};

//! Returns the stage's name in messages and logs.
[[nodiscard]] std::string_view toString(rollout_stage Stage);

//! The latest roll-out of one service.
struct rollout {
  std::string Version;            //!< Of the targets that take over.
  std::uint64_t StartedIndex = 0; //!< Log index of the order; identifies it.
  std::uint64_t StartedMs = 0;    //!< Unix time of the order, ms.
  std::uint64_t DurationMs = 0;   //!< The operator's time limit.
  rollout_stage Stage = rollout_stage::Running;
  std::uint32_t SharePermille = 0; //!< Of the requests, to the new version.
  std::string Reason;              //!< Of the latest change.
  std::uint64_t ChangedIndex = 0;  //!< Log index of the latest change.
  //! The version that an earlier roll-out moved the service to; empty if there
  //! was none, and any version may be replaced.
  std::string EarlierVersion = {};
  //! Versions that were rolled back since then.
  std::set<std::string, std::less<>> RolledBackVersions = {};

  [[nodiscard]] bool ended() const {
    return Stage == rollout_stage::Completed ||
           Stage == rollout_stage::RolledBack;
  }
  //! Whether targets of \p TargetVersion may get requests at all.
  [[nodiscard]] bool allows(std::string_view TargetVersion) const;
  //! Whether \p TargetVersion is one that this roll-out replaces. An earlier
  //! roll-out may have ruled it out.
  [[nodiscard]] bool replaces(std::string_view TargetVersion) const;
};

inline constexpr std::size_t MaxVersionBytes = 256;
inline constexpr std::uint32_t WholeShare = 1000; //!< Permille.

//! The latest roll-out of each service. Part of the replicated state: changes
//! are deterministic, and the time is taken from the log.
class rollout_table {
public:
  //! Starts a roll-out. An order that repeats the latest one within its time
  //! limit, or names the version that the service has been moved to, changes
  //! nothing. An order that names the version in force after another one was
  //! rolled back only waits for the hosts to confirm.
  //! \throws pomelo_error InvalidChange if the order itself is invalid,
  //!         VersionConflict if the service is being moved to another version.
  void start(const wire::start_rollout &Order, std::uint64_t Index,
             std::uint64_t NowMs);
  //! Changes the stage or the share of a roll-out that has not ended. Ignores a
  //! change that was decided for an earlier roll-out or for an earlier stage.
  void advance(const wire::advance_rollout &Change, std::uint64_t Index);
  //! Ends the roll-outs of services for which \p Exists returns false.
  template <typename predicate>
  void endWithout(predicate Exists, std::uint64_t Index) {
    for (auto &[Service, Rollout] : Rollouts)
      if (!Rollout.ended() && !Exists(Service))
        endOf(Rollout, Index);
  }

  //! Null if there was none.
  [[nodiscard]] const rollout *find(std::string_view Service) const;
  [[nodiscard]] bool empty() const { return Rollouts.empty(); }
  [[nodiscard]] auto begin() const { return Rollouts.begin(); }
  [[nodiscard]] auto end() const { return Rollouts.end(); }

  void writeTo(wire::state_snapshot &Snapshot) const;
  static rollout_table readFrom(const wire::state_snapshot &Snapshot);

private:
  static void endOf(rollout &Rollout, std::uint64_t Index);

  std::map<std::string, rollout, std::less<>> Rollouts; //!< By service.
};

} // namespace pomelo

#endif
