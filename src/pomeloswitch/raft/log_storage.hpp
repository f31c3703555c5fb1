//! Interface of the durable storage for the log, vote and snapshot of a
//! replica.
#ifndef POMELOSWITCH_RAFT_LOG_STORAGE_HPP
#define POMELOSWITCH_RAFT_LOG_STORAGE_HPP

#include "pomeloswitch/raft/raft_types.hpp"

#include <functional>

namespace pomelo {

class log_storage {
public:
  virtual ~log_storage() = default;

  //! Returns the state that was durable when the storage was opened. Must be
  //! called once, before any write().
  virtual stored_state load() = 0;

  //! Blocks until \p Batch is durable.
  //! \throws pomelo_error StorageFailed; the storage must not be used
  //! afterwards. Another one must be opened instead, because nothing is known
  //! of what a failed write or sync left in the files.
  virtual void write(const storage_batch &Batch) = 0;
};

//! Opens the storage of a replica, as at the start of a process. The one opened
//! before must no longer exist. \throws pomelo_error StorageFailed.
using storage_opener = std::function<std::unique_ptr<log_storage>()>;

} // namespace pomelo

#endif
