//! Failures of the storage that pass: out of the group, and back into it.
#include "pomeloswitch/raft/raft_log.hpp"

#include <utility>

namespace pomelo {

void raft_log::suspend(const std::string &Reason) {
  Log.error("This host takes no part in the replicated log until its data "
            "folder can be written again: {}.",
            Reason);
  Suspended = true;
  SuspendedFor = Reason;
  stopLeading();
  reopenAfterPause();
}

void raft_log::reopenAfterPause() {
  Reopening.expires_after(ReopenPause.take());
  Reopening.async_wait([this](boost::system::error_code Error) {
    if (!Error && !Stopped && !Failed)
      reopen();
  });
}

void raft_log::reopen() {
  Worker.reopen(
      [this](std::optional<stored_state> Stored, const std::string &Failure) {
        onReopened(std::move(Stored), Failure);
      });
}

void raft_log::onReopened(std::optional<stored_state> Stored,
                          const std::string &Failure) {
  if (Failed || Stopped)
    return;
  if (!Stored) {
    if (std::exchange(SuspendedFor, Failure) != Failure)
      Log.warn("The data folder cannot be opened yet: {}.", Failure);
    return reopenAfterPause();
  }
  const std::string Replica = Core.identity().replica_id();
  if (!Replica.empty() && Replica != Stored->Identity.replica_id())
    return fail("the data folder was replaced by one of another replica");
  restore(std::move(*Stored));
  Suspended = false;
  Log.info("This host takes part in the replicated log again, with last log "
           "index {} and term {}; it has applied {}.",
           Core.log().lastIndex(), Core.term(), Applied);
  takePart();
  scheduleAdvance();
}

//! What is applied stays: it is committed, although the log that was loaded may
//! not reach that far.
void raft_log::restore(stored_state Stored) {
  if (!Stored.Founders.empty())
    Options.Founders = std::move(Stored.Founders);
  Core = raft_core(coreOptions(), std::move(Stored), lease_clock::now());
  Bootstrap = group_bootstrap(Options.HostId, Options.Founders,
                              Options.ToleratedLosses);
  ConnectedHosts = 0;
}

} // namespace pomelo
