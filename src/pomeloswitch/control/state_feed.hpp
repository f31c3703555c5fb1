//! What a control host sends to those that follow its state.
#ifndef POMELOSWITCH_CONTROL_STATE_FEED_HPP
#define POMELOSWITCH_CONTROL_STATE_FEED_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelo::wire {
class command;
class log_batch;
} // namespace pomelo::wire

namespace pomelo {

class cluster_state;
class replicated_log;
struct committed_entry;

//! How far a host has read the feed.
struct feed_position {
  std::uint64_t NextIndex = 0; //!< Next entry to send; 0 if not subscribed.
  //! Whether the host can read a configuration as a difference.
  bool AcceptsDifferences = false;
};

//! Chooses between log entries and a snapshot. A host that has just started
//! gets a snapshot, also where the log still has all entries: it would else
//! build each older configuration on its way to the newest. All such hosts get
//! the same one, with the entries that follow it.
class state_feed {
public:
  //! Both must outlive this object.
  state_feed(const cluster_state &State, const replicated_log &Log)
      : State(State), Log(Log) {}

  //! Returns the next message to a host that has everything before
  //! \p Position, and advances \p Position past its content. Returns nullopt
  //! if there is nothing to send.
  std::optional<wire::log_batch> next(feed_position &Position);

  //! Call before the state applies \p Command as the entry \p Index: prepares
  //! what is sent in its place.
  void beforeApplying(std::uint64_t Index, const wire::command &Command);

  //! Entries are added to a message until they reach this size in bytes.
  static constexpr std::size_t BatchBytes = std::size_t{256} * 1024;
  //! A host that is further behind gets a snapshot.
  static constexpr std::uint64_t MaxEntriesBehind = 256;

private:
  //! Returns the entries from \p First to the newest, or nullopt if they are
  //! too many for one message or no longer held.
  [[nodiscard]] std::optional<std::vector<committed_entry>>
  entriesToNewest(std::uint64_t First) const;
  void packSnapshot();

  const cluster_state &State;
  const replicated_log &Log;
  //! Commands by index, with configurations as differences.
  std::map<std::uint64_t, std::string> Differences;
  std::string Packed;
  std::uint64_t PackedIndex = 0; //!< State index of Packed; 0 if there is none.
};

} // namespace pomelo

#endif
