//! Interface of the durable storage for the log, vote and snapshot of a
//! replica.
#ifndef POMELOSWITCH_RAFT_LOG_STORAGE_HPP
#define POMELOSWITCH_RAFT_LOG_STORAGE_HPP

#include "pomeloswitch/raft/raft_types.hpp"

namespace pomelo {

class log_storage {
public:
  virtual ~log_storage() = default;

  //! Returns the state that was durable when the storage was opened. Must be
  //! called once, before any write().
  virtual stored_state load() = 0;

  //! Blocks until \p Batch is durable.
  //! \throws pomelo_error StorageFailed; the storage must not be used
  //! afterwards.
  virtual void write(const storage_batch &Batch) = 0;
};

} // namespace pomelo

#endif
