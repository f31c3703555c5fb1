//! Where a replica keeps its log, vote and snapshot.
#ifndef POMELOSWITCH_RAFT_LOG_STORAGE_HPP
#define POMELOSWITCH_RAFT_LOG_STORAGE_HPP

#include "pomeloswitch/raft/raft_types.hpp"

namespace pomelo {

class log_storage {
public:
  virtual ~log_storage() = default;

  //! What was durable when the storage was opened. Called once, first.
  virtual stored_state load() = 0;

  //! Makes \p Batch durable before it returns.
  //! \throws pomelo_error StorageFailed; the storage must not be used after.
  virtual void write(const storage_batch &Batch) = 0;
};

} // namespace pomelo

#endif
